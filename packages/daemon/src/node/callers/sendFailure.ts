import type { ServerResponse } from 'node:http'
import { type RequestFailure, VERDICT_HEADER } from '@auburnbay/core'
import { sendJson } from '@auburnbay/http-utils'

/** Sends a failure with its verdict as the response. */
export function sendFailure(
  res: ServerResponse,
  failure: RequestFailure,
  closeConnection = false,
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
      ...(closeConnection ? { connection: 'close' } : {}),
    },
  )
}
