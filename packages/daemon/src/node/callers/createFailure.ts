import { FailureCode, type RequestFailure, Verdict } from '@auburnbay/core'

const STATUS_BY_CODE: Readonly<Record<FailureCode, number>> = {
  [FailureCode.BadRequest]: 400,
  [FailureCode.MissingKey]: 401,
  [FailureCode.WrongKey]: 401,
  [FailureCode.UnknownService]: 404,
  [FailureCode.NotFound]: 404,
  [FailureCode.BodyTooLarge]: 413,
  [FailureCode.NoTarget]: 503,
  [FailureCode.Overloaded]: 503,
  [FailureCode.RouterBusy]: 503,
  [FailureCode.UnknownStream]: 503,
  [FailureCode.HarmfulPrompt]: 503,
  [FailureCode.HarmfulRequest]: 503,
  [FailureCode.LimitReached]: 429,
  [FailureCode.DeadlinePassed]: 504,
  [FailureCode.TargetUnreachable]: 502,
  [FailureCode.TargetFailed]: 502,
  [FailureCode.TargetTimeout]: 504,
  [FailureCode.KeyInUse]: 409,
  [FailureCode.KeyReused]: 422,
  [FailureCode.KeyTooOld]: 409,
  [FailureCode.LogUnavailable]: 503,
  [FailureCode.Starting]: 503,
  [FailureCode.Stopping]: 503,
  [FailureCode.Internal]: 500,
}

/** Creates a failure with the HTTP status of its code. */
export function createFailure(
  code: FailureCode,
  message: string,
  verdict: Verdict = Verdict.NotRun,
  retryAfterS?: number,
): RequestFailure {
  return { code, message, verdict, status: STATUS_BY_CODE[code], retryAfterS }
}
