import {
  DIGEST_INTERVAL_MS,
  DIGEST_FANOUT,
  MAX_LOST_DIGESTS,
} from '@auburnbay/router/constants'
import { createPendingUpdates } from '@auburnbay/router/peers/createPendingUpdates'
import { selectTarget } from '@auburnbay/router/routing/selectTarget'
import { createFleetLoad } from '@auburnbay/router/routing/createFleetLoad'
import { createCacheLocations } from '@auburnbay/router/routing/createCacheLocations'
import type { Target } from '@auburnbay/router/targets/target'
import { createEventQueue } from '../routing/bench/createEventQueue.js'
import { createRandom } from '../routing/bench/createRandom.js'
import { LOAD_FACTOR, LOAD_MARGIN } from './constants.js'
import type { PlacingTrace } from './placingTrace.js'
import { PlacingWay, type RouterMemory } from './placingWay.js'

const LENGTH_MS = 60_000
const JOIN_AT_MS = 20_000
const LEAVE_AT_MS = 35_000
const LEAVE_GAP_MS = 3_000
const LOST_DIGESTS = 0.025
const MAX_PROMPTS = 10_000

/** What came of a trace. */
export interface PlacingResult {
  readonly requests: number
  /** Requests whose prompt the target had read before. */
  readonly reused: number
  /** Requests placed on a target above the bound on load. */
  readonly over: number
}

function createTarget(number: number): Target {
  return {
    id: `target-${number}`,
    service: 'service',
    host: '10.0.0.1',
    port: number,
    slots: 128,
    draining: false,
  }
}

/** Digests until a router has told every peer once. */
const tellingsOf = ({ routers }: PlacingTrace): number =>
  Math.ceil((routers - 1) / DIGEST_FANOUT)

function createMemory(trace: PlacingTrace): RouterMemory {
  const placements = createCacheLocations(MAX_PROMPTS)
  const staleMs = MAX_LOST_DIGESTS * DIGEST_INTERVAL_MS * tellingsOf(trace)
  return {
    load: createFleetLoad(() => staleMs),
    placements,
    news: createPendingUpdates(() => placements.takeUpdates()),
  }
}

/** Plays a trace; the same seed gives the same requests in every way. */
export function simulatePlacing(
  trace: PlacingTrace,
  way: PlacingWay,
  seed: number,
): PlacingResult {
  const random = createRandom(seed)
  const lost = createRandom(seed + 1)
  const queue = createEventQueue()
  const shared = createMemory(trace)
  const memories = Array.from({ length: trace.routers }, () =>
    way === PlacingWay.AllKnowing ? shared : createMemory(trace),
  )
  let targets = Array.from({ length: trace.targets }, (_, i) => createTarget(i))
  const inFlight = new Map<string, number>()
  const read = new Set<string>()
  const result = { requests: 0, reused: 0, over: 0 }

  function isOver(id: string): boolean {
    let total = 0
    for (const target of targets) total += inFlight.get(target.id) ?? 0
    const mean = total / targets.length
    return (inFlight.get(id) ?? 0) > LOAD_FACTOR * mean + LOAD_MARGIN
  }

  function arrive(): void {
    const memory = memories[random.below(trace.routers)]
    const key = `prompt-${random.below(trace.prompts)}`
    const durationMs = random.exponential(trace.requestMs)
    if (!memory) return
    const { load, placements } = memory
    const target = selectTarget({
      targets,
      load: (id) => load.total(id, queue.nowMs),
      affinity: key,
      promptTokens: trace.promptTokens,
      cachedOn: placements.cachedOn(key),
      tieBreaker: String(result.requests),
    })
    if (!target) return
    const { id } = target
    const cached = `${key} ${id}`
    result.requests += 1
    if (read.has(cached)) result.reused += 1
    const tokens = read.has(cached) ? 0 : trace.promptTokens
    read.add(cached)
    inFlight.set(id, (inFlight.get(id) ?? 0) + 1)
    if (isOver(id)) result.over += 1
    load.recordStart(id, tokens)
    placements.add(key, id)
    queue.at(queue.nowMs + durationMs, () => {
      inFlight.set(id, (inFlight.get(id) ?? 0) - 1)
      load.releasePromptTokens(id, tokens)
      load.recordEnd(id)
    })
  }

  let turn = 0

  /** Returns the peers that the next digest of a router goes to. */
  function peersInTurn(from: number): number[] {
    const peers = memories.map((_, to) => to).filter((to) => to !== from)
    const first = (turn * DIGEST_FANOUT) % peers.length
    const most = Math.min(DIGEST_FANOUT, peers.length)
    return [...peers, ...peers].slice(first, first + most)
  }

  function tell(): void {
    for (const [from, memory] of memories.entries()) {
      const news = memory.news.next(tellingsOf(trace))
      const work = new Map(memory.load.own())
      for (const to of peersInTurn(from)) {
        if (lost.unit() < LOST_DIGESTS) continue
        memories[to]?.placements.merge(news)
        memories[to]?.load.updatePeer(`router-${from}`, work, queue.nowMs)
      }
    }
    turn += 1
  }

  function every(gapMs: () => number, run: () => void): void {
    queue.at(queue.nowMs + gapMs(), () => {
      run()
      every(gapMs, run)
    })
  }

  every(() => random.exponential(1_000 / trace.requestsPerS), arrive)
  if (way === PlacingWay.Digests) every(() => DIGEST_INTERVAL_MS, tell)
  queue.at(JOIN_AT_MS, () => {
    for (let i = 0; i < trace.joining; i += 1)
      targets = [...targets, createTarget(100 + i)]
  })
  for (let i = 0; i < trace.leaving; i += 1)
    queue.at(LEAVE_AT_MS + i * LEAVE_GAP_MS, () => {
      targets = [...targets.slice(1), createTarget(200 + i)]
    })
  queue.runUntil(LENGTH_MS)
  return result
}
