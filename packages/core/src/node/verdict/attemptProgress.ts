import { Verdict } from './verdict.js'

/** How far a request came towards a target in one attempt. */
export enum AttemptProgress {
  /** No byte was handed to a connection. */
  NothingWritten = 'nothing-written',
  /** Bytes were handed to a connection; no answer came. */
  Written = 'written',
  /** The target answered that it refused the request before running it. */
  Refused = 'refused',
  /** The head of the target's own answer came. */
  Answered = 'answered',
}

/** Returns the verdict of an attempt that failed after `progress`. */
export function verdictOfAttempt(progress: AttemptProgress): Verdict {
  switch (progress) {
    case AttemptProgress.NothingWritten:
    case AttemptProgress.Refused:
      return Verdict.NotRun
    case AttemptProgress.Written:
      return Verdict.MayHaveRun
    case AttemptProgress.Answered:
      return Verdict.Ran
  }
}

const CERTAINTY_OF_RUN: Readonly<Record<Verdict, number>> = {
  [Verdict.NotRun]: 0,
  [Verdict.MayHaveRun]: 1,
  [Verdict.Ran]: 2,
}

/** Returns the verdict on a request from those on two of its attempts. */
export function combineVerdicts(first: Verdict, second: Verdict): Verdict {
  return CERTAINTY_OF_RUN[second] > CERTAINTY_OF_RUN[first] ? second : first
}
