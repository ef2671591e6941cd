/** Fault switches of the log service's stand-in. */
export interface LogFaults {
  /** Every call fails with 503. */
  outage: boolean
  /** Calls get no answer and no end. */
  silent: boolean
  /** So many appends take effect while their answer is lost. */
  loseReplies: number
  /** Milliseconds before an answer. */
  delayMs: number
}

/** Returns switches that are all off. */
export function createLogFaults(): LogFaults {
  return { outage: false, silent: false, loseReplies: 0, delayMs: 0 }
}
