/** State of the circuit breaker of a target. */
export enum CircuitState {
  Closed = 'closed',
  /** Ejected: no request is sent until the hold-down ends. */
  Open = 'open',
  /** One live request probes whether the target has recovered. */
  HalfOpen = 'half-open',
}

/** Health of a target as seen by one router. */
export interface TargetState {
  circuit: CircuitState
  consecutiveFailures: number
  /** Outcomes seen since the circuit closed. */
  outcomes: number
  /** Moving average of the outcomes; 1 is success. */
  successRate: number
  /** Ejections since the circuit last stayed closed for long. */
  ejections: number
  /** Milliseconds of the monotonic clock until which the circuit is open. */
  openUntilMs: number
  /** Milliseconds of the monotonic clock at which the circuit closed. */
  closedAtMs: number
  probing: boolean
}

/** Creates the state of a target without outcomes. */
export function createTargetState(): TargetState {
  return {
    circuit: CircuitState.Closed,
    consecutiveFailures: 0,
    outcomes: 0,
    successRate: 1,
    ejections: 0,
    openUntilMs: 0,
    closedAtMs: 0,
    probing: false,
  }
}
