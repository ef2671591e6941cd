import { Verdict } from './verdict.js'

/** How far an attempt to send a request to a target got. */
export enum AttemptProgress {
  /** No bytes were written to a connection. */
  NothingWritten = 'nothing-written',
  /** Bytes were written to a connection, but no response was received. */
  Written = 'written',
  /** The target responded that it rejected the request before running it. */
  Refused = 'refused',
  /** The response headers of the target were received. */
  Responded = 'answered',
}

/** Returns the verdict on an attempt that failed after `progress`. */
export function verdictOfAttempt(progress: AttemptProgress): Verdict {
  switch (progress) {
    case AttemptProgress.NothingWritten:
    case AttemptProgress.Refused:
      return Verdict.NotRun
    case AttemptProgress.Written:
      return Verdict.MayHaveRun
    case AttemptProgress.Responded:
      return Verdict.Ran
  }
}

const VERDICT_ORDER: Readonly<Record<Verdict, number>> = {
  [Verdict.NotRun]: 0,
  [Verdict.MayHaveRun]: 1,
  [Verdict.Ran]: 2,
}

/** Returns the verdict on a request from the verdicts on two of its attempts. */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
  return VERDICT_ORDER[second] > VERDICT_ORDER[first] ? second : first
}
