import { shouldTail, tailerOrder } from '@auburnbay/core'
import { BoundKind, type Figure } from '../figure.js'
import { createRandom } from '../routing/bench/createRandom.js'
import { countPeers, createPeerLists, createRouters } from './routerFleet.js'

/** Seconds within which a change must be in force on every router. */
const MAX_PROPAGATION_S = 18
/** Reads and appends per second that the log service accepts. */
const LOG_CALLS_PER_S = 300
const TICK_MS = 50
const LOG_READ_MS = 100
const FETCH_MS = 100
const HEARTBEAT_LOSS_RATE = 0.05
const DEAD_ROUTER_SHARE = 0.01
const SEEDS = 5
const HORIZON_MS = 120_000

interface FleetSize {
  readonly name: string
  readonly routers: number
  readonly dataCentres: number
  readonly heartbeatMs: number
}

const SIZES: readonly FleetSize[] = [
  { name: '9-nodes', routers: 9, dataCentres: 3, heartbeatMs: 500 },
  { name: '2600-nodes', routers: 2_600, dataCentres: 11, heartbeatMs: 1_000 },
]

/** Simulates one change; returns when the last live router has it, in milliseconds. */
function simulatePropagation(
  size: FleetSize,
  peers: readonly number[][],
  tailers: ReadonlySet<number>,
  seed: number,
): number {
  const random = createRandom(seed)
  const inForceAtMs = new Array<number>(size.routers).fill(Infinity)
  const phases = inForceAtMs.map(() => random.unit() * size.heartbeatMs)
  const dead = phases.map(() => random.unit() < DEAD_ROUTER_SHARE)
  for (const tailer of tailers)
    if (!dead[tailer]) inForceAtMs[tailer] = LOG_READ_MS * (1 + random.unit())
  for (let nowMs = 0; nowMs < HORIZON_MS; nowMs += TICK_MS) {
    const isDone = inForceAtMs.every(
      (at, index) => dead[index] === true || at <= nowMs,
    )
    if (isDone) return nowMs
    for (const [index, phase] of phases.entries()) {
      const sinceDue = (nowMs - phase + size.heartbeatMs) % size.heartbeatMs
      if (dead[index] || sinceDue >= TICK_MS) continue
      for (const peer of peers[index] ?? []) {
        if (dead[peer] || random.unit() < HEARTBEAT_LOSS_RATE) continue
        exchangeDigests(inForceAtMs, index, peer, nowMs)
      }
    }
  }
  return HORIZON_MS
}

function exchangeDigests(
  inForceAtMs: number[],
  sender: number,
  receiver: number,
  nowMs: number,
): void {
  const hasChange = (index: number): boolean =>
    (inForceAtMs[index] ?? Infinity) <= nowMs
  if (hasChange(sender) === hasChange(receiver)) return
  const behind = hasChange(sender) ? receiver : sender
  inForceAtMs[behind] = Math.min(
    inForceAtMs[behind] ?? Infinity,
    nowMs + FETCH_MS,
  )
}

function measureSize(size: FleetSize): Figure[] {
  const routers = createRouters(size.routers, size.dataCentres)
  const peers = createPeerLists(routers)
  const candidates = new Map<string, string[]>()
  for (const { dataCentre } of routers)
    if (!candidates.has(dataCentre))
      candidates.set(dataCentre, tailerOrder(dataCentre, routers))
  const tailers = new Set<number>()
  for (const [index, router] of routers.entries()) {
    const firstCandidates = new Set(
      (candidates.get(router.dataCentre) ?? []).slice(0, 4),
    )
    const others = routers
      .filter(({ id }) => firstCandidates.has(id) && id !== router.id)
      .map((peer) => ({ ...peer, readsLog: true }))
    if (shouldTail(router, others)) tailers.add(index)
  }
  let worstMs = 0
  for (let seed = 1; seed <= SEEDS; seed += 1)
    worstMs = Math.max(worstMs, simulatePropagation(size, peers, tailers, seed))
  const peerCounts = countPeers(peers)
  return [
    {
      measure: `state.in-force-everywhere-${size.name}`,
      value: worstMs / 1_000,
      unit: 's, worst of 5 seeds, 5% of heartbeats lost, 1% of routers dead',
      bound: MAX_PROPAGATION_S,
      baseline: size.routers / LOG_CALLS_PER_S,
    },
    {
      measure: `state.log-readers-${size.name}`,
      value: tailers.size,
      unit: 'routers that read the log',
      bound: LOG_CALLS_PER_S,
      boundKind: BoundKind.AtMost,
      baseline: size.routers,
    },
    {
      measure: `state.most-heartbeats-${size.name}`,
      value: (Math.max(...peerCounts) * 1_000) / size.heartbeatMs,
      unit: 'heartbeat calls a second of the busiest router',
      baseline: ((size.routers - 1) * 1_000) / size.heartbeatMs,
    },
  ]
}

/** Measures the time until a change is in force everywhere and its load on the log. */
export function measurePropagation(): Figure[] {
  return SIZES.flatMap(measureSize)
}
