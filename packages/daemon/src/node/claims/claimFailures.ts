import {
  ClaimPhase,
  FailureCode,
  type HeldClaim,
  type RequestFailure,
  Verdict,
} from '@auburnbay/core'
import { createFailure } from '../callers/createFailure.js'
import { CLAIM_RETRY_AFTER_S } from './constants.js'

/** Says what is known of a key that another request holds. */
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

/** Refuses a key whose claims the log need not hold any more. */
export function oldKeyFailure(): RequestFailure {
  const message =
    'the idempotency key is older than the log; ask the service whether it ran'
  return createFailure(FailureCode.KeyTooOld, message, Verdict.MayHaveRun)
}

/** Refuses a key without a time of its own. */
export function undatedKeyFailure(): RequestFailure {
  const message =
    'the idempotency key carries no time; use a UUID of version 7 or MILLISECONDS.NAME'
  return createFailure(FailureCode.BadRequest, message)
}

/** Refuses a key whose time is ahead of the log's clock. */
export function futureKeyFailure(): RequestFailure {
  const message =
    'the time in the idempotency key is in the future; correct the clock'
  return createFailure(FailureCode.BadRequest, message)
}

/** Refuses a request because the log decided nothing in time. */
export function logFailure(reason: string): RequestFailure {
  const message = `the log service could not decide who runs the request: ${reason}; this request was not run`
  const { NotRun } = Verdict
  const { LogUnavailable } = FailureCode
  return createFailure(LogUnavailable, message, NotRun, CLAIM_RETRY_AFTER_S)
}

/** Refuses a request whose caller no longer waits. */
export function abandonedFailure(): RequestFailure {
  const message = 'the deadline passed before the request was sent'
  return createFailure(FailureCode.DeadlinePassed, message)
}
