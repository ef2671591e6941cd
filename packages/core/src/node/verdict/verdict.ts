/** Says whether a request may have run on a target. */
export enum Verdict {
  /** Provably nothing of the request reached a target. */
  NotRun = 'not-run',
  /** The request may or may not have run. */
  MayHaveRun = 'may-have-run',
  /** The target answered the request. */
  Ran = 'ran',
}
