import { DIGEST_INTERVAL_MS } from '@auburnbay/router/constants'
import { selectTarget } from '@auburnbay/router/routing/selectTarget'
import {
  createFleetLoad,
  type FleetLoad,
} from '@auburnbay/router/routing/createFleetLoad'
import {
  createCacheLocations,
  type CacheLocations,
} from '@auburnbay/router/routing/createCacheLocations'
import type { Target } from '@auburnbay/router/targets/target'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import { createRandom } from '../routing/bench/createRandom.js'
import { createDigestNetwork } from './createDigestNetwork.js'
import { LOAD_FACTOR, LOAD_MARGIN } from './constants.js'
import type { PlacingTrace } from './placingTrace.js'
import { StateSharing } from './stateSharing.js'

const LENGTH_MS = 60_000
const JOIN_AT_MS = 20_000
const REPLACE_FROM_MS = 35_000
const REPLACE_INTERVAL_MS = 3_000
const DIGEST_LOSS_RATE = 0.025
const MAX_PROMPTS = 10_000

/** State that digests would keep for longer than the trace. */
const NEVER_STALE_MS = Infinity

interface RoutingState {
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
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

function createRoutingState(staleMs = NEVER_STALE_MS): RoutingState {
  return {
    load: createFleetLoad(() => staleMs),
    cacheLocations: createCacheLocations(MAX_PROMPTS),
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
  let targets = Array.from({ length: trace.targets }, (_, i) => createTarget(i))
  const shared = createRoutingState()
  const network = createDigestNetwork({
    routers: sharing === StateSharing.Digests ? trace.routers : 0,
    targetIds: () => targets.map(({ id }) => id),
    isLost: () => lossRandom.unit() < DIGEST_LOSS_RATE,
    now: () => queue.nowMs,
  })
  const states = Array.from(
    { length: trace.routers },
    (_, i) =>
      network.states[i] ??
      (sharing === StateSharing.Instant ? shared : createRoutingState()),
  )
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
    scheduleRepeatedly(
      () => DIGEST_INTERVAL_MS,
      () => {
        network.tick()
      },
    )
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
