import {
  ClaimPhase,
  FailureCode,
  type HeldClaim,
  type RequestFailure,
  Verdict,
} from '@auburnbay/core'
import { createFailure } from '../callers/createFailure.js'
import { CLAIM_RETRY_AFTER_S } from './constants.js'

/** Creates the failure for a key that another claim holds. */
export function heldKeyFailure(
  holder: HeldClaim,
  digest: string,
): RequestFailure {
  if (holder.digest !== digest) {
    const message =
      'the idempotency key belongs to another request; use a new key'
    return createFailure(FailureCode.KeyReused, message)
  }
  const { KeyInUse } = FailureCode
  switch (holder.phase) {
    case ClaimPhase.Finished: {
      const message = `a request with this key was answered with status ${holder.status ?? 0}`
      return createFailure(KeyInUse, message, Verdict.Ran)
    }
    case ClaimPhase.Unknown: {
      const message =
        'whether a request with this key ran is unknown; ask the service'
      return createFailure(KeyInUse, message, Verdict.MayHaveRun)
    }
    case ClaimPhase.Running: {
      const message = 'a request with this key may be running; ask again later'
      const { MayHaveRun } = Verdict
      return createFailure(KeyInUse, message, MayHaveRun, CLAIM_RETRY_AFTER_S)
    }
  }
}

/** Creates the failure for a key whose claim the log may have dropped. */
export function oldKeyFailure(): RequestFailure {
  const message =
    'the idempotency key is older than the log; ask the service whether it ran'
  return createFailure(FailureCode.KeyTooOld, message, Verdict.MayHaveRun)
}

/** Creates the failure for a key without a timestamp. */
export function undatedKeyFailure(): RequestFailure {
  const message =
    'the idempotency key carries no time; use a UUID of version 7 or MILLISECONDS.NAME'
  return createFailure(FailureCode.BadRequest, message)
}

/** Creates the failure for a key with a timestamp ahead of the log's clock. */
export function futureKeyFailure(): RequestFailure {
  const message =
    'the time in the idempotency key is in the future; correct the clock'
  return createFailure(FailureCode.BadRequest, message)
}

/** Creates the failure for a claim that the log did not decide in time. */
export function logUnavailableFailure(reason: string): RequestFailure {
  const message = `the log service could not decide who runs the request: ${reason}; this request was not run`
  const { NotRun } = Verdict
  const { LogUnavailable } = FailureCode
  return createFailure(LogUnavailable, message, NotRun, CLAIM_RETRY_AFTER_S)
}

/** Creates the failure for a request whose caller no longer waits for it. */
export function deadlinePassedFailure(): RequestFailure {
  const message = 'the deadline passed before the request was sent'
  return createFailure(FailureCode.DeadlinePassed, message)
}
