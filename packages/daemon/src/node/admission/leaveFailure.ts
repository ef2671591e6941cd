import { FailureCode, type RequestFailure } from '@auburnbay/core'
import { createFailure } from '../callers/createFailure.js'
import { LeaveReason } from './leaveReason.js'

const RETRY_AFTER_S = 1

/** Returns the failure of a request that left the queue; it was not run. */
export function leaveFailure(reason: LeaveReason): RequestFailure {
  switch (reason) {
    case LeaveReason.Shed:
      return createFailure(
        FailureCode.Overloaded,
        'more urgent requests fill the queue; try again later',
        undefined,
        RETRY_AFTER_S,
      )
    case LeaveReason.Expired:
      return createFailure(
        FailureCode.DeadlinePassed,
        'the deadline passed while the request waited; try again later',
        undefined,
        RETRY_AFTER_S,
      )
    case LeaveReason.CallerGone:
      return createFailure(
        FailureCode.DeadlinePassed,
        'the caller went away while the request waited',
      )
  }
}
