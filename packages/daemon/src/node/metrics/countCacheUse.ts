import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import type { Metrics } from './metrics.js'

const ENGINE_CACHE_HEADER = 'x-engine-cache'

/** Counts whether the engine found the chat in its prompt cache. */
export function countCacheUse(
  metrics: Metrics,
  request: RoutedRequest,
  reply: TargetResponse,
): void {
  const use = reply.headers[ENGINE_CACHE_HEADER]
  if (use !== 'hit' && use !== 'miss') return
  const { service, customer } = request
  metrics.count(`cache.${use}`, 1, { service, customer })
}
