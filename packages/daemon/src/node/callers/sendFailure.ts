import type { ServerResponse } from 'node:http'
import { type RequestFailure, VERDICT_HEADER } from '@auburnbay/core'
import { sendJson } from '@auburnbay/http-utils'

/** Answers a caller with a failure and its verdict. */
export function sendFailure(
  res: ServerResponse,
  failure: RequestFailure,
  closes = false,
): void {
  const { code, message, verdict, retryAfterS } = failure
  sendJson(
    res,
    failure.status,
    { error: { code, message, verdict } },
    {
      [VERDICT_HEADER]: verdict,
      ...(retryAfterS === undefined
        ? {}
        : { 'retry-after': String(retryAfterS) }),
      ...(closes ? { connection: 'close' } : {}),
    },
  )
}
