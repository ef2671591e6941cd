/** Fault switches of a plain service's stand-in. */
export interface PlainFaults {
  /** Refuses calls with 503 before running them. */
  refuse: boolean
  /** Closes connections on the head of a call, before reading its body. */
  resetBefore: boolean
  /** Runs the call, then closes the connection without an answer. */
  resetAfter: boolean
  /** Runs the call and never answers. */
  silent: boolean
  /** Cuts the answer after so many bytes of its body; negative is never. */
  cutAfterBytes: number
  /** Answers with another call's answer, under that one's identity. */
  crossAnswers: boolean
  /** Milliseconds before the answer. */
  delayMs: number
}

/** Returns switches that are all off. */
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
