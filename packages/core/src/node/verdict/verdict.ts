/** Whether a request may have run on a target. */
export enum Verdict {
  /** The request provably did not run on any target. */
  NotRun = 'not-run',
  /** The request may or may not have run. */
  MayHaveRun = 'may-have-run',
  /** A target responded to the request. */
  Ran = 'ran',
}
