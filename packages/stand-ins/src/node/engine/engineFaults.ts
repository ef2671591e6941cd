/** Fault switches of an engine's stand-in. */
export interface EngineFaults {
  /** Refuses new work with 503 before running it. */
  refuse: boolean
  /** Closes connections on the head of a request, before reading its body. */
  resetBefore: boolean
  /** Runs the request, then closes the connection without an answer. */
  resetAfter: boolean
  /** Takes the request, runs it and never answers. */
  silent: boolean
  /** Cuts the stream after so many events; negative is never. */
  cutAfterEvents: number
  /** Cuts the stream after so many bytes of a connection; negative is never. */
  cutAfterBytes: number
  /** Sends nothing more after so many events of a connection; negative is never. */
  silentAfterEvents: number
  /** Ends the stream cleanly, without its end marker. */
  withholdEnd: boolean
  /** Answers with another request's answer, under that one's identity. */
  crossAnswers: boolean
  /** Forgets runs, so that streams cannot be resumed. */
  forgetRuns: boolean
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
    cutAfterBytes: -1,
    silentAfterEvents: -1,
    withholdEnd: false,
    crossAnswers: false,
    forgetRuns: false,
    delayMs: 0,
  }
}
