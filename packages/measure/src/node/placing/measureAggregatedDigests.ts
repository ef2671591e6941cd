import { DIGEST_INTERVAL_MS } from '@auburnbay/router/constants'
import type { Figure } from '../figure.js'
import { MAX_CONTROL_BYTES_PER_S } from './constants.js'
import { createDigestNetwork } from './createDigestNetwork.js'

/** A fleet with aggregators under load. */
interface AggregatedFleet {
  readonly routers: number
  readonly targets: number
  /** New cache locations per second in the whole fleet. */
  readonly newLocationsPerS: number
  /** Bytes a second that a router may send. */
  readonly maxBytesPerS: number
}

const MS_PER_S = 1_000
/** Time until the digests are those of a fleet that runs, in milliseconds. */
const SETTLE_MS = 3_000
const MEASURED_MS = 3_000
/** Targets at which a router has requests in flight. */
const USED_TARGETS = 8
const PROMPT_TOKENS = 1_300
/** Bytes a second that a router of a fleet of hundreds may send for control. */
const MAX_LARGE_FLEET_BYTES_PER_S = 12_000

const FLEETS: readonly AggregatedFleet[] = [
  {
    routers: 60,
    targets: 67,
    newLocationsPerS: 50,
    maxBytesPerS: MAX_CONTROL_BYTES_PER_S,
  },
  {
    routers: 195,
    targets: 87,
    newLocationsPerS: 55,
    maxBytesPerS: MAX_LARGE_FLEET_BYTES_PER_S,
  },
  {
    routers: 300,
    targets: 134,
    newLocationsPerS: 85,
    maxBytesPerS: MAX_LARGE_FLEET_BYTES_PER_S,
  },
]

/** Returns the bytes a second that each router sends. */
function simulateBytesPerS({
  routers,
  targets,
  newLocationsPerS,
}: AggregatedFleet): number[] {
  let nowMs = 0
  let locations = 0
  const targetIds = Array.from({ length: targets }, (_, i) => `i-00000000${i}`)
  const network = createDigestNetwork({
    routers,
    targetIds: () => targetIds,
    isLost: () => false,
    now: () => nowMs,
  })

  function addLocations(): void {
    const dueCount = (newLocationsPerS * nowMs) / MS_PER_S
    for (; locations < dueCount; locations += 1) {
      const router = network.states[locations % routers]
      const target = targetIds[locations % targets]
      if (target !== undefined)
        router?.cacheLocations.add(`5c1e07a${locations}`, target)
    }
  }

  function runFor(ms: number): void {
    for (const endMs = nowMs + ms; nowMs < endMs; nowMs += DIGEST_INTERVAL_MS) {
      addLocations()
      network.tick()
    }
  }

  for (const [i, { load }] of network.states.entries())
    for (let j = 0; j < USED_TARGETS; j += 1)
      load.recordStart(targetIds[(7 * i + j) % targets] ?? '', PROMPT_TOKENS)
  runFor(SETTLE_MS)
  for (const router of network.states) router.sentBytes = 0
  runFor(MEASURED_MS)
  return network.states.map(
    ({ sentBytes }) => (sentBytes * MS_PER_S) / MEASURED_MS,
  )
}

function measureFleet(fleet: AggregatedFleet): Figure[] {
  const bytesPerS = simulateBytesPerS(fleet)
  const { routers, targets, maxBytesPerS } = fleet
  const total = bytesPerS.reduce((sum, bytes) => sum + bytes, 0)
  const unit = `bytes/s sent, ${targets} targets, with headers`
  return [
    {
      measure: `placing.digests-${routers}-routers`,
      value: Math.round(total / routers),
      unit: `${unit}, mean of all routers`,
      bound: maxBytesPerS,
    },
    {
      measure: `placing.digests-${routers}-aggregator`,
      value: Math.round(Math.max(...bytesPerS)),
      unit: `${unit}, by the busiest router`,
      bound: maxBytesPerS,
      knownRed: true,
    },
  ]
}

/** Measures the bytes of digests in fleets with aggregators. */
export function measureAggregatedDigests(): Figure[] {
  return FLEETS.flatMap(measureFleet)
}
