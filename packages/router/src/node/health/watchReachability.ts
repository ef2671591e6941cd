import { connectsTo } from './connectsTo.js'
import {
  createReachability,
  type Reachability,
  type ReachabilityOptions,
} from './createReachability.js'

/** Milliseconds between two looks for a suspicion. */
const POLL_INTERVAL_MS = 100

/** A reachability that is kept up to date. */
export interface WatchedReachability extends Reachability {
  stop(): void
}

/** Starts to watch whether this router reaches targets. */
export function watchReachability(
  options: Omit<ReachabilityOptions, 'connects' | 'random'>,
): WatchedReachability {
  const reachability = createReachability({
    ...options,
    connects: connectsTo,
    random: Math.random,
  })
  const timer = setInterval(() => {
    void reachability.poll()
  }, POLL_INTERVAL_MS)
  return Object.assign(reachability, {
    stop: () => {
      clearInterval(timer)
    },
  })
}
