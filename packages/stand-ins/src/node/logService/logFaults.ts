/** Injectable faults of the log service stand-in. */
export interface LogFaults {
  /** Every request fails with 503. */
  outage: boolean
  /** Requests get no response and stay open. */
  silent: boolean
  /** Number of coming appends that take effect but lose their response. */
  loseReplies: number
  /** Delay before a response, in milliseconds. */
  delayMs: number
}

/** Creates faults that are all off. */
export function createLogFaults(): LogFaults {
  return { outage: false, silent: false, loseReplies: 0, delayMs: 0 }
}
