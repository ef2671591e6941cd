import {
  type RequestError,
  type JsonResponse,
  requestJson,
} from '@auburnbay/http-utils'
import type { Result } from 'neverthrow'

/** A request to the administration API. */
export interface AdminRequest {
  /** @default "GET" */
  readonly method?: 'DELETE' | 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly body?: unknown
}

/** Client of the administration API of one router. */
export interface AdminClient {
  call(req: AdminRequest): Promise<Result<JsonResponse, RequestError>>
}

const REQUEST_TIMEOUT_MS = 30_000

/** Creates a client for the router at `baseUrl`. */
export function createAdminClient(baseUrl: string, token: string): AdminClient {
  return {
    call: ({ method = 'GET', path, body }) =>
      requestJson({
        method,
        url: `${baseUrl.replace(/\/$/, '')}${path}`,
        body,
        timeoutMs: REQUEST_TIMEOUT_MS,
        headers: { authorization: `Bearer ${token}` },
      }),
  }
}
