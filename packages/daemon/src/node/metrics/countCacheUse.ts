import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetResponse } from '../targets/targetResponse.js'
import type { Metrics } from './metrics.js'

const ENGINE_CACHE_HEADER = 'x-engine-cache'

/** Counts whether a request hit or missed the prompt cache of its engine. */
export function countCacheUse(
  metrics: Metrics,
  request: RoutedRequest,
  res: TargetResponse,
): void {
  const use = res.headers[ENGINE_CACHE_HEADER]
  if (use !== 'hit' && use !== 'miss') return
  const { service, customer } = request
  metrics.count(`cache.${use}`, 1, { service, customer })
}
