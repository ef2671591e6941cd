import { verifyHint, ServiceKind } from '@auburnbay/core'
import type { RoutedRequest } from '../callers/routedRequest.js'

/** Returns the target named by a request's hint if the hint was signed for the request's chat. */
export function resolveHint(
  secret: string,
  request: RoutedRequest,
): string | undefined {
  const { customer, service, chat, hint, serviceKind } = request
  if (serviceKind !== ServiceKind.Model || chat === '') return undefined
  return verifyHint(secret, { customer, service, chat }, hint)
}
