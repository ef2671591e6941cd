import type { RoutedRequest } from '../callers/routedRequest.js'
import type { SpanFields } from './createTracing.js'

/** Returns what every span of a request says of it. */
export function spanFields(request: RoutedRequest): SpanFields {
  const { customer, service, rank } = request
  return { customer, service, rank }
}
