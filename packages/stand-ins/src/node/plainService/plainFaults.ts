/** Injectable faults of a plain service stand-in. */
export interface PlainFaults {
  /** Rejects calls with 503 before running them. */
  refuse: boolean
  /** Closes the connection after the headers of a call, before reading its body. */
  resetBefore: boolean
  /** Runs the call, then closes the connection without a response. */
  resetAfter: boolean
  /** Runs the call and never responds. */
  silent: boolean
  /** Cuts the connection after this many bytes of the body; off if negative. */
  cutAfterBytes: number
  /** Sends the response of another call, with that call's request id. */
  crossAnswers: boolean
  /** Delay before the response, in milliseconds. */
  delayMs: number
}

/** Creates faults that are all off. */
export function createPlainFaults(): PlainFaults {
  return {
    refuse: false,
    resetBefore: false,
    resetAfter: false,
    silent: false,
    cutAfterBytes: -1,
    crossAnswers: false,
    delayMs: 0,
  }
}
