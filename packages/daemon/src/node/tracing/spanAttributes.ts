import type { RoutedRequest } from '../callers/routedRequest.js'
import type { SpanAttributes } from './createTracing.js'

/** Returns what every span of a request says of it. */
export function spanAttributes(request: RoutedRequest): SpanAttributes {
  const { customer, service, rank } = request
  return { customer, service, rank }
}
