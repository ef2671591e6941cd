import {
  type CallError,
  type JsonReply,
  requestJson,
} from '@auburnbay/http-utils'
import type { Result } from 'neverthrow'

/** Calls the administration API of one router. */
export interface AdminClient {
  call(
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Result<JsonReply, CallError>>
}

const TIMEOUT_MS = 10_000

/** Creates a client for the router at `baseUrl`. */
export function createAdminClient(baseUrl: string, token: string): AdminClient {
  return {
    call: (method, path, body) =>
      requestJson({
        method,
        url: `${baseUrl}${path}`,
        body,
        timeoutMs: TIMEOUT_MS,
        headers: { authorization: `Bearer ${token}` },
      }),
  }
}
