import { requestJson } from '@auburnbay/http-utils'
import { type Fleet, TEST_ADMIN_TOKEN } from '../../__tests__/startFleet.js'

/** A request to the administration API. */
export interface AdminTestCall {
  readonly method?: string
  readonly path: string
  /** @default the bootstrap owner's token */
  readonly token?: string
  readonly body?: unknown
  /** Index of the router. @default 0 */
  readonly router?: number
}

/** Fields that tests read; each response has some of them. */
export interface AdminTestBody {
  readonly version: number
  readonly configuration: {
    readonly customers: Record<string, { readonly keys: unknown }>
  }
  readonly kind: string
  readonly reason: string
  readonly entries: readonly {
    readonly version: number
    readonly author: string
    readonly operator?: string
  }[]
  readonly complete: boolean
  readonly changes: readonly { readonly operations: unknown }[]
  readonly rebase: unknown
  readonly everywhere: boolean
  readonly routers: readonly unknown[]
  readonly key: string
  readonly keyId: string
  readonly token: string
  readonly weight: number
  readonly chosen: string
  readonly candidates: readonly unknown[]
  readonly error: { readonly code: string; readonly message: string }
}

/** Response to an {@link AdminTestCall}. */
export interface AdminTestResponse {
  readonly status: number
  readonly body: AdminTestBody
}

const TIMEOUT_MS = 15_000

/** Calls the administration API of a test fleet. */
export async function callAdmin(
  fleet: Fleet,
  call: AdminTestCall,
): Promise<AdminTestResponse> {
  const { token = TEST_ADMIN_TOKEN, router = 0, method = 'GET' } = call
  const response = await requestJson({
    method,
    url: `${fleet.adminUrl(router)}${call.path}`,
    headers: token === '' ? {} : { authorization: `Bearer ${token}` },
    body: call.body,
    timeoutMs: TIMEOUT_MS,
  })
  return response._unsafeUnwrap() as AdminTestResponse
}
