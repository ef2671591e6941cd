import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { createStandIn } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'

/** Stand-in for the weight store. */
export interface WeightStoreStandIn extends StandIn {
  /** Loads allowed within any minute; may be changed at any time. */
  loadsPerMinute: number
  /** Times at which loads were served, in milliseconds of `now`. */
  readonly served: readonly number[]
  /** Times at which loads were rejected, in milliseconds of `now`. */
  readonly refused: readonly number[]
}

const MINUTE_MS = 60_000

/** Starts a stand-in for the rate-limited weight store. */
export async function createWeightStore(
  loadsPerMinute: number,
  address?: ListenAddress,
  now: () => number = Date.now,
): Promise<WeightStoreStandIn> {
  const served: number[] = []
  const refused: number[] = []
  const limits = { loadsPerMinute, served, refused }
  const standIn = await createStandIn(({ url, res }) => {
    if (!url.pathname.startsWith('/weights/')) {
      sendJson(res, 404, { error: 'unknown path' })
      return
    }
    const atMs = now()
    const recent = served.filter((servedMs) => atMs - servedMs < MINUTE_MS)
    if (recent.length >= limits.loadsPerMinute) {
      refused.push(atMs)
      sendJson(res, 429, { error: 'too many loads' }, { 'retry-after': '10' })
      return
    }
    served.push(atMs)
    sendJson(res, 200, { bytes: 0 })
  }, address)
  return Object.assign(limits, standIn)
}
