/** Injectable faults of an engine stand-in. */
export interface EngineFaults {
  /** Rejects requests with 503 before running them. */
  refuse: boolean
  /** Closes the connection after the headers of a request, before reading its body. */
  resetBefore: boolean
  /** Runs the request, then closes the connection without a response. */
  resetAfter: boolean
  /** Runs the request and never responds. */
  silent: boolean
  /** Cuts the connection after this many events; off if negative. */
  cutAfterEvents: number
  /** Cuts the connection after this many bytes; off if negative. */
  cutAfterBytes: number
  /** Stops sending after this many events of a connection; off if negative. */
  silentAfterEvents: number
  /** Ends the stream cleanly, without its end marker. */
  withholdEnd: boolean
  /** Sends the response of another request, with that request's id. */
  crossAnswers: boolean
  /** Forgets runs, so that streams cannot be resumed. */
  forgetRuns: boolean
  /** Delay before the first byte, in milliseconds. */
  delayMs: number
}

/** Creates faults that are all off. */
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
