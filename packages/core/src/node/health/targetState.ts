/** Whether a target takes work, as a circuit breaker. */
export enum CircuitState {
  Closed = 'closed',
  /** Ejected: no request goes there until the hold-down ends. */
  Open = 'open',
  /** One live request probes whether the target has recovered. */
  HalfOpen = 'half-open',
}

/** What a router knows of a target's health. */
export interface TargetState {
  circuit: CircuitState
  failuresInRow: number
  /** Outcomes seen since the circuit closed. */
  outcomes: number
  /** Moving average of outcomes, 1 is success. */
  successRate: number
  /** Ejections without a long time of health in between. */
  ejections: number
  /** Milliseconds of the monotonic clock until which the circuit is open. */
  openUntilMs: number
  closedAtMs: number
  probing: boolean
}

/** Returns the state of a target of which nothing is known. */
export function createTargetState(): TargetState {
  return {
    circuit: CircuitState.Closed,
    failuresInRow: 0,
    outcomes: 0,
    successRate: 1,
    ejections: 0,
    openUntilMs: 0,
    closedAtMs: 0,
    probing: false,
  }
}
