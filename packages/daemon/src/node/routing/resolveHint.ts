import { verifyHint, ServiceKind } from '@auburnbay/core'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** Returns the target that a request's own genuine hint names. */
export function resolveHint(
  secret: string,
  request: RoutedRequest,
): string | undefined {
  const { customer, service, chat, hint, serviceKind } = request
  if (serviceKind !== ServiceKind.Model || chat === '') return undefined
  return verifyHint(secret, { customer, service, chat }, hint)
}
