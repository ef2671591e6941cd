import { verifyHint, ServiceKind } from '@auburnbay/core'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** Returns the target in a request's hint if it is signed for its chat. */
export function resolveHint(
  secret: string,
  request: RoutedRequest,
): string | undefined {
  const { customer, service, chat, hint, serviceKind } = request
  if (serviceKind !== ServiceKind.Model || chat === '') return undefined
  return verifyHint(secret, { customer, service, chat }, hint)
}
