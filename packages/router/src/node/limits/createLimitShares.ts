import { hash32 } from '@auburnbay/core/hash/hash32'
import { LRUCache } from 'lru-cache'
import {
  createLimitPlaces,
  type LimitPlacesOptions,
} from './createLimitPlaces.js'

/** Options for {@link createLimitShares}. */
export interface LimitSharesOptions extends LimitPlacesOptions {
  /** Returns the requests that all routers together may send at once beside a limit's rate. */
  readonly burstOf?: (limitPerS: number) => number
}

/** This router's shares of the limits of targets. */
export interface LimitShares {
  /** Returns the milliseconds until this router may send a request; 0 if it may. */
  waitMs(targetId: string, limitPerS: number): number
  recordSent(targetId: string, limitPerS: number): void
}

/** A token bucket: credits for requests that may be sent. */
interface Bucket {
  credits: number
  updatedAtMs: number
}

interface Share {
  /** Whether this router sends requests to the target at all. */
  readonly isUser: boolean
  readonly ratePerMs: number
  readonly maxCredits: number
}

/** Lowest rate of requests to a target, per second: without any, no response would say that its limit has risen. */
const MIN_LIMIT_PER_S = 0.25
/** Wait of a router that may not use a target: by then another router has got the request. */
const OTHER_ROUTER_WAIT_MS = 100
/** Targets whose buckets are remembered. */
const MAX_TARGETS = 10_000
const MS_PER_S = 1_000
const HASH_RANGE = 2 ** 32

/**
 * Returns the burst for a limit that a target names: what the bound of one and a half times the limit in 4 s, and five
 * requests, leaves, less one.
 */
function defaultBurstOf(limitPerS: number): number {
  return 2 * limitPerS + 4
}

/**
 * Creates shares. The routers that rank highest for a target divide its limit,
 * as many as may each send a request at the same moment, so that the bound holds
 * although routers share no counts.
 */
export function createLimitShares(options: LimitSharesOptions): LimitShares {
  const { router, now, burstOf = defaultBurstOf } = options
  const placeAt = createLimitPlaces(options)
  const buckets = new LRUCache<string, Bucket>({ max: MAX_TARGETS })

  function shareOf(targetId: string, limitPerS: number): Share {
    const burst = burstOf(limitPerS)
    const { users, rank } = placeAt(targetId, Math.floor(burst))
    return {
      isUser: rank !== undefined,
      ratePerMs: Math.max(limitPerS, MIN_LIMIT_PER_S) / users / MS_PER_S,
      maxCredits: burst / users,
    }
  }

  /** Returns a target's bucket, filled up to now; a new one is filled in part, differently at each router. */
  function bucketOf(
    targetId: string,
    { ratePerMs, maxCredits }: Share,
  ): Bucket {
    const bucket = buckets.get(targetId) ?? {
      credits: (hash32(targetId + router) / HASH_RANGE) * maxCredits,
      updatedAtMs: now(),
    }
    const added = ratePerMs * (now() - bucket.updatedAtMs)
    bucket.credits = Math.min(maxCredits, bucket.credits + added)
    bucket.updatedAtMs = now()
    buckets.set(targetId, bucket)
    return bucket
  }

  return {
    waitMs(targetId, limitPerS) {
      const share = shareOf(targetId, limitPerS)
      if (!share.isUser) return OTHER_ROUTER_WAIT_MS
      const { credits } = bucketOf(targetId, share)
      return credits >= 1 ? 0 : (1 - credits) / share.ratePerMs
    },
    recordSent(targetId, limitPerS) {
      bucketOf(targetId, shareOf(targetId, limitPerS)).credits -= 1
    },
  }
}
