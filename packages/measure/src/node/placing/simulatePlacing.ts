import {
  DIGEST_INTERVAL_MS,
  DIGEST_FANOUT,
  MAX_LOST_DIGESTS,
} from '@auburnbay/router/constants'
import {
  createPendingUpdates,
  type PendingUpdates,
} from '@auburnbay/router/peers/createPendingUpdates'
import { selectTarget } from '@auburnbay/router/routing/selectTarget'
import {
  createFleetLoad,
  type FleetLoad,
} from '@auburnbay/router/routing/createFleetLoad'
import {
  type CacheLocation,
  createCacheLocations,
  type CacheLocations,
} from '@auburnbay/router/routing/createCacheLocations'
import type { Target } from '@auburnbay/router/targets/target'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import { createRandom } from '../routing/bench/createRandom.js'
import { LOAD_FACTOR, LOAD_MARGIN } from './constants.js'
import type { PlacingTrace } from './placingTrace.js'
import { StateSharing } from './stateSharing.js'

const LENGTH_MS = 60_000
const JOIN_AT_MS = 20_000
const REPLACE_FROM_MS = 35_000
const REPLACE_INTERVAL_MS = 3_000
const DIGEST_LOSS_RATE = 0.025
const MAX_PROMPTS = 10_000

interface RoutingState {
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  /** Cache locations that not all peers have received yet. */
  readonly pendingUpdates: PendingUpdates<CacheLocation>
}

/** Result of a simulation. */
export interface PlacingResult {
  readonly requests: number
  /** Requests whose prompt the target had cached. */
  readonly cacheHits: number
  /** Requests sent to a target above the load bound. */
  readonly overBound: number
}

function createTarget(number: number): Target {
  return {
    id: `target-${number}`,
    service: 'service',
    host: '10.0.0.1',
    port: number,
    slots: 128,
    softwareVersion: 'v1',
    draining: false,
  }
}

/** Returns the number of digests that a router needs to reach every peer once. */
const digestRoundsToAllPeers = ({ routers }: PlacingTrace): number =>
  Math.ceil((routers - 1) / DIGEST_FANOUT)

function createRoutingState(trace: PlacingTrace): RoutingState {
  const cacheLocations = createCacheLocations(MAX_PROMPTS)
  const staleMs =
    MAX_LOST_DIGESTS * DIGEST_INTERVAL_MS * digestRoundsToAllPeers(trace)
  return {
    load: createFleetLoad(() => staleMs),
    cacheLocations,
    pendingUpdates: createPendingUpdates(() => cacheLocations.takeUpdates()),
  }
}

/** Simulates a trace; the same seed gives the same requests for each kind of sharing. */
export function simulatePlacing(
  trace: PlacingTrace,
  sharing: StateSharing,
  seed: number,
): PlacingResult {
  const random = createRandom(seed)
  const lossRandom = createRandom(seed + 1)
  const queue = createEventQueue()
  const shared = createRoutingState(trace)
  const states = Array.from({ length: trace.routers }, () =>
    sharing === StateSharing.Instant ? shared : createRoutingState(trace),
  )
  let targets = Array.from({ length: trace.targets }, (_, i) => createTarget(i))
  const inFlight = new Map<string, number>()
  const cachedPrompts = new Set<string>()
  const result = { requests: 0, cacheHits: 0, overBound: 0 }

  function isOverBound(id: string): boolean {
    let total = 0
    for (const target of targets) total += inFlight.get(target.id) ?? 0
    const mean = total / targets.length
    return (inFlight.get(id) ?? 0) > LOAD_FACTOR * mean + LOAD_MARGIN
  }

  function arrive(): void {
    const state = states[random.below(trace.routers)]
    const key = `prompt-${random.below(trace.prompts)}`
    const durationMs = random.exponential(trace.requestMs)
    if (!state) return
    const { load, cacheLocations } = state
    const selected = selectTarget({
      targets,
      load: (id) => load.total(id, queue.nowMs),
      affinity: key,
      promptTokens: trace.promptTokens,
      cachedOn: cacheLocations.cachedOn(key),
      tieBreaker: String(result.requests),
    })
    if (!selected) return
    const { id } = selected.target
    const cacheEntry = `${key} ${id}`
    result.requests += 1
    if (cachedPrompts.has(cacheEntry)) result.cacheHits += 1
    const tokens = cachedPrompts.has(cacheEntry) ? 0 : trace.promptTokens
    cachedPrompts.add(cacheEntry)
    inFlight.set(id, (inFlight.get(id) ?? 0) + 1)
    if (isOverBound(id)) result.overBound += 1
    load.recordStart(id, tokens)
    cacheLocations.add(key, id)
    queue.at(queue.nowMs + durationMs, () => {
      inFlight.set(id, (inFlight.get(id) ?? 0) - 1)
      load.releasePromptTokens(id, tokens)
      load.recordEnd(id)
    })
  }

  let round = 0

  /** Returns the peers that the next digest of a router goes to. */
  function nextDigestPeers(from: number): number[] {
    const peers = states.map((_, to) => to).filter((to) => to !== from)
    const first = (round * DIGEST_FANOUT) % peers.length
    const count = Math.min(DIGEST_FANOUT, peers.length)
    return [...peers, ...peers].slice(first, first + count)
  }

  function broadcastDigests(): void {
    for (const [from, state] of states.entries()) {
      const updates = state.pendingUpdates.next(digestRoundsToAllPeers(trace))
      const ownLoad = new Map(state.load.own())
      for (const to of nextDigestPeers(from)) {
        if (lossRandom.unit() < DIGEST_LOSS_RATE) continue
        states[to]?.cacheLocations.merge(updates)
        states[to]?.load.updatePeer(`router-${from}`, ownLoad, queue.nowMs)
      }
    }
    round += 1
  }

  function scheduleRepeatedly(intervalMs: () => number, run: () => void): void {
    queue.at(queue.nowMs + intervalMs(), () => {
      run()
      scheduleRepeatedly(intervalMs, run)
    })
  }

  scheduleRepeatedly(
    () => random.exponential(1_000 / trace.requestsPerS),
    arrive,
  )
  if (sharing === StateSharing.Digests)
    scheduleRepeatedly(() => DIGEST_INTERVAL_MS, broadcastDigests)
  queue.at(JOIN_AT_MS, () => {
    for (let i = 0; i < trace.joining; i += 1)
      targets = [...targets, createTarget(100 + i)]
  })
  for (let i = 0; i < trace.replaced; i += 1)
    queue.at(REPLACE_FROM_MS + i * REPLACE_INTERVAL_MS, () => {
      targets = [...targets.slice(1), createTarget(200 + i)]
    })
  queue.runUntil(LENGTH_MS)
  return result
}
