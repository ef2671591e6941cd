import type { HealthOptions } from './healthOptions.js'
import { isOutlier } from './isOutlier.js'
import { TargetOutcome } from './targetOutcome.js'
import {
  CircuitState,
  createTargetState,
  type TargetState,
} from './targetState.js'

/** Change of a target's circuit caused by an outcome. */
export enum HealthChange {
  None = 'none',
  Ejected = 'ejected',
  Recovered = 'recovered',
}

/** Passive health checks and outlier ejection for the targets of one service. */
export interface ServiceHealth {
  /** Whether a request may be sent to a target now. */
  isEligible(target: string, idempotent: boolean, nowMs: number): boolean
  /** Records that a request is sent; returns whether it is the probe. */
  recordStart(target: string, nowMs: number): boolean
  /** Records the outcome of a request. */
  recordOutcome(
    target: string,
    outcome: TargetOutcome,
    nowMs: number,
    isProbe?: boolean,
  ): HealthChange
  /** Sets the service's targets and drops the state of all others. */
  setTargets(targets: readonly string[]): void
  /** Returns the circuit state of a target; closed if it is unknown. */
  circuit(target: string, nowMs: number): CircuitState
}

/** Creates health checks in which every target is eligible. */
export function createServiceHealth(options: HealthOptions): ServiceHealth {
  const states = new Map<string, TargetState>()

  function isOpen(state: TargetState): boolean {
    return state.circuit !== CircuitState.Closed
  }

  function circuit(target: string, nowMs: number): CircuitState {
    const state = states.get(target)
    if (!state || !isOpen(state)) return CircuitState.Closed
    return nowMs < state.openUntilMs ? CircuitState.Open : CircuitState.HalfOpen
  }

  function mayEject(): boolean {
    let ejected = 0
    for (const state of states.values()) if (isOpen(state)) ejected += 1
    return ejected + 1 <= options.maxEjectedShare * states.size
  }

  function open(state: TargetState, nowMs: number): void {
    const { baseHoldMs, maxHoldMs } = options
    const holdMs = Math.min(maxHoldMs, baseHoldMs * 2 ** state.ejections)
    // A circuit that stayed closed for longer than the longest hold-down starts
    // over.
    const isReset =
      state.circuit === CircuitState.Closed &&
      nowMs - state.closedAtMs > maxHoldMs
    state.circuit = CircuitState.Open
    state.openUntilMs = nowMs + (isReset ? baseHoldMs : holdMs)
    state.ejections = isReset ? 1 : state.ejections + 1
    state.probing = false
  }

  function close(state: TargetState, nowMs: number): void {
    state.circuit = CircuitState.Closed
    state.closedAtMs = nowMs
    state.consecutiveFailures = 0
    state.outcomes = 0
    state.successRate = 1
  }

  function count(state: TargetState, outcome: TargetOutcome): void {
    const success = outcome === TargetOutcome.Success ? 1 : 0
    if (success) state.consecutiveFailures = 0
    // Full targets all refuse requests, so a refusal counts only towards the
    // success rate, which is compared with that of the peers.
    if (outcome === TargetOutcome.Failure) state.consecutiveFailures += 1
    state.outcomes += 1
    const weight = 1 / Math.min(state.outcomes, options.rateOutcomes)
    state.successRate += (success - state.successRate) * weight
  }

  function recordProbe(
    state: TargetState,
    outcome: TargetOutcome,
    nowMs: number,
  ): HealthChange {
    state.probing = false
    if (outcome === TargetOutcome.Unknown) return HealthChange.None
    if (outcome !== TargetOutcome.Success) {
      open(state, nowMs)
      return HealthChange.None
    }
    close(state, nowMs)
    return HealthChange.Recovered
  }

  return {
    circuit,
    isEligible(target, idempotent, nowMs) {
      const state = states.get(target)
      if (!state) return true
      switch (circuit(target, nowMs)) {
        case CircuitState.Closed:
          return true
        case CircuitState.Open:
          return false
        case CircuitState.HalfOpen:
          return idempotent && !state.probing
      }
    },
    recordStart(target, nowMs) {
      const state = states.get(target)
      if (!state || circuit(target, nowMs) !== CircuitState.HalfOpen)
        return false
      const isProbe = !state.probing
      state.probing = true
      return isProbe
    },
    recordOutcome(target, outcome, nowMs, isProbe = false) {
      const state = states.get(target)
      if (!state) return HealthChange.None
      // Requests sent before the ejection are no evidence of a recovery.
      if (isOpen(state))
        return isProbe ? recordProbe(state, outcome, nowMs) : HealthChange.None
      if (outcome === TargetOutcome.Unknown) return HealthChange.None
      count(state, outcome)
      const peers = [...states.values()].filter((peer) => peer !== state)
      if (!isOutlier(state, peers, options) || !mayEject())
        return HealthChange.None
      open(state, nowMs)
      return HealthChange.Ejected
    },
    setTargets(targets) {
      const wanted = new Set(targets)
      for (const target of states.keys())
        if (!wanted.has(target)) states.delete(target)
      for (const target of wanted)
        if (!states.has(target)) states.set(target, createTargetState())
    },
  }
}
