import { type JsonResponse, requestJson } from '@auburnbay/http-utils'
import { type Fleet, TEST_ADMIN_TOKEN } from '../../__tests__/startFleet.js'

const CALL_TIMEOUT_MS = 10_000

/**
 * Calls the administration API of one router; throws when the request fails.
 */
export async function callAdmin(
  fleet: Fleet,
  router: number,
  method: string,
  path: string,
  body?: unknown,
): Promise<JsonResponse> {
  const result = await requestJson({
    method,
    url: `${fleet.adminUrl(router)}${path}`,
    headers: { authorization: `Bearer ${TEST_ADMIN_TOKEN}` },
    body,
    timeoutMs: CALL_TIMEOUT_MS,
  })
  return result._unsafeUnwrap()
}

/** Fields of the `/config/status` response that tests check. */
export interface ConfigurationStatus {
  readonly version: number
  readonly problem?: { readonly kind: string }
  readonly routers: readonly { readonly readsLog: boolean }[]
}

/** Fetches the configuration status of one router. */
export async function getStatus(
  fleet: Fleet,
  router: number,
): Promise<ConfigurationStatus> {
  const result = await callAdmin(fleet, router, 'GET', '/config/status')
  return result.body as ConfigurationStatus
}

/** Submits a patch that sets the default rank. */
export function submitDefaultRank(
  fleet: Fleet,
  router: number,
  patchId: string,
  baseVersion: number,
): Promise<JsonResponse> {
  return callAdmin(fleet, router, 'POST', '/config/patches', {
    patchId,
    baseVersion,
    author: 'test',
    operations: [{ op: 'replace', path: '/defaultRank', value: 3 }],
  })
}
