import { FailureCode, type RequestFailure } from '@auburnbay/core'
import { createFailure } from '../callers/createFailure.js'
import { QueueExitReason } from './queueExitReason.js'

const RETRY_AFTER_S = 1

/** Returns the failure of a request that left the queue before it ran. */
export function queueExitFailure(reason: QueueExitReason): RequestFailure {
  switch (reason) {
    case QueueExitReason.Shed:
      return createFailure(
        FailureCode.Overloaded,
        'more urgent requests fill the queue; try again later',
        undefined,
        RETRY_AFTER_S,
      )
    case QueueExitReason.Expired:
      return createFailure(
        FailureCode.DeadlinePassed,
        'the deadline passed while the request waited; try again later',
        undefined,
        RETRY_AFTER_S,
      )
    case QueueExitReason.CallerDisconnected:
      return createFailure(
        FailureCode.DeadlinePassed,
        'the caller went away while the request waited',
      )
  }
}
