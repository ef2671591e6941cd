/** Fault switches of an engine's stand-in. */
export interface EngineFaults {
  /** Refuses new work with 503 before running it. */
  refuse: boolean
  /** Closes connections before reading the request. */
  resetBefore: boolean
  /** Runs the request, then closes the connection without an answer. */
  resetAfter: boolean
  /** Takes the request, runs it and never answers. */
  silent: boolean
  /** Cuts the stream after so many events; negative is never. */
  cutAfterEvents: number
  /** Echoes another request's identity. */
  crossAnswers: boolean
  /** Milliseconds before the first byte. */
  delayMs: number
}

/** Returns switches that are all off. */
export function createEngineFaults(): EngineFaults {
  return {
    refuse: false,
    resetBefore: false,
    resetAfter: false,
    silent: false,
    cutAfterEvents: -1,
    crossAnswers: false,
    delayMs: 0,
  }
}
