import type { HealthOptions } from './healthOptions.js'
import { isOutlier } from './isOutlier.js'
import { TargetOutcome } from './targetOutcome.js'
import {
  CircuitState,
  createTargetState,
  type TargetState,
} from './targetState.js'

/** What the last event changed about a target. */
export enum HealthChange {
  None = 'none',
  Ejected = 'ejected',
  Recovered = 'recovered',
}

/** Health of the targets of one service, from the outcomes of requests. */
export interface ServiceHealth {
  /** Whether a request may go to a target now. */
  isEligible(target: string, idempotent: boolean, nowMs: number): boolean
  /** Notes that a request is sent; returns whether it is the probe. */
  recordStart(target: string, nowMs: number): boolean
  /** Notes how a request ended. */
  recordOutcome(
    target: string,
    outcome: TargetOutcome,
    nowMs: number,
    isProbe?: boolean,
  ): HealthChange
  /** Sets the service's targets; others are forgotten. */
  setTargets(targets: readonly string[]): void
  circuit(target: string, nowMs: number): CircuitState
}

/** Creates health in which every target is eligible. */
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
    // Health for as long as the longest hold-down clears the record.
    const forgiven =
      state.circuit === CircuitState.Closed &&
      nowMs - state.closedAtMs > maxHoldMs
    state.circuit = CircuitState.Open
    state.openUntilMs = nowMs + (forgiven ? baseHoldMs : holdMs)
    state.ejections = forgiven ? 1 : state.ejections + 1
    state.probing = false
  }

  function close(state: TargetState, nowMs: number): void {
    state.circuit = CircuitState.Closed
    state.closedAtMs = nowMs
    state.failuresInRow = 0
    state.outcomes = 0
    state.successRate = 1
  }

  function count(state: TargetState, outcome: TargetOutcome): void {
    const success = outcome === TargetOutcome.Success ? 1 : 0
    if (success) state.failuresInRow = 0
    // When all are full, all refuse; only refusing more than its peers counts.
    if (outcome === TargetOutcome.Failure) state.failuresInRow += 1
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
      // Work from before the ejection tells nothing of a recovery.
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
