import type { RoutedRequest } from '../callers/routedRequest.js'
import type { SpanAttributes } from './createTracing.js'

/** Returns the attributes that all spans of a request share. */
export function spanAttributes(request: RoutedRequest): SpanAttributes {
  const { customer, service, rank } = request
  return { customer, service, rank }
}
