import { ServiceKind } from '@auburnbay/core'
import type { RoutedRequest } from '../../callers/routedRequest.js'

/** Creates a non-idempotent request for tests. */
export function createKeyedRequest(
  fields: Partial<RoutedRequest> = {},
): RoutedRequest {
  return {
    id: 'request-1',
    customer: 'corrib',
    service: 'charts',
    serviceKind: ServiceKind.Plain,
    chat: '',
    requestKind: '',
    rank: 5,
    idempotent: false,
    method: 'POST',
    path: '/notices',
    headers: {},
    body: Buffer.from('notice'),
    signal: new AbortController().signal,
    ...fields,
  }
}
