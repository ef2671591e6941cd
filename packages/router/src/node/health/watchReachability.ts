import { connect } from 'node:net'
import { CONNECT_TIMEOUT_MS } from '../constants.js'
import type { Target } from '../targets/target.js'
import {
  createReachability,
  type Reachability,
  type ReachabilityOptions,
} from './createReachability.js'

/** Milliseconds between two looks for a suspicion. */
const POLL_INTERVAL_MS = 100

/** Resolves to whether a target accepts a connection in time. */
function connects({ host, port }: Target): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    function finish(isConnected: boolean): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(isConnected)
    }
    const timer = setTimeout(() => {
      finish(false)
    }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => {
      finish(true)
    })
    socket.once('error', () => {
      finish(false)
    })
  })
}

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
    connects,
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
