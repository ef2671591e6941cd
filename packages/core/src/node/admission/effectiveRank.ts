import type { WaitingRequest } from './waitingRequest.js'

/**
 * Returns the rank after ageing: one better for each whole `ageingMs` waited.
 * It may fall below 0, so that no stream of urgent requests starves a request.
 */
export function effectiveRank(
  request: Pick<WaitingRequest, 'rank' | 'enqueuedAtMs'>,
  nowMs: number,
  ageingMs: number,
): number {
  const waitedMs = Math.max(0, nowMs - request.enqueuedAtMs)
  return request.rank - Math.floor(waitedMs / ageingMs)
}
