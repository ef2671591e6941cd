import { requestJson } from '@auburnbay/http-utils'
import { type Fleet, TEST_ADMIN_TOKEN } from '../../__tests__/startFleet.js'

/** An administration call of a test. */
export interface AdminTestCall {
  readonly method?: string
  readonly path: string
  /** @default the bootstrap owner's token */
  readonly token?: string
  readonly body?: unknown
  /** @default 0 */
  readonly router?: number
}

/** Fields that tests look at; each answer has some of them. */
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

/** An answer to a test's call. */
export interface AdminTestReply {
  readonly status: number
  readonly body: AdminTestBody
}

const TIMEOUT_MS = 15_000

/** Calls the administration API of a test fleet. */
export async function callAdmin(
  fleet: Fleet,
  call: AdminTestCall,
): Promise<AdminTestReply> {
  const { token = TEST_ADMIN_TOKEN, router = 0, method = 'GET' } = call
  const reply = await requestJson({
    method,
    url: `${fleet.adminUrl(router)}${call.path}`,
    headers: token === '' ? {} : { authorization: `Bearer ${token}` },
    body: call.body,
    timeoutMs: TIMEOUT_MS,
  })
  return reply._unsafeUnwrap() as AdminTestReply
}
