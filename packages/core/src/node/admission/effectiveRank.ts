import type { WaitingRequest } from './waitingRequest.js'

/**
 * Returns the rank after ageing: one lower for each whole `ageingMs` waited. It
 * may fall below 0, so that a stream of urgent requests starves no request.
 */
export function effectiveRank(
  request: Pick<WaitingRequest, 'rank' | 'enqueuedAtMs'>,
  nowMs: number,
  ageingMs: number,
): number {
  const waitedMs = Math.max(0, nowMs - request.enqueuedAtMs)
  return request.rank - Math.floor(waitedMs / ageingMs)
}
