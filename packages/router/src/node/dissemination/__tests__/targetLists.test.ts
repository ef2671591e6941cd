import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FleetRole } from '../../membership/createTopology.js'
import { createListFleet, type ListFleetOptions } from './listFleet.js'
import type { ListRouter } from './testRouter.js'

const HEARTBEAT_MS = 1_200
/** Digests, listings and roles have settled by then. */
const SETTLED_MS = 4_000
/** Routers whose simulation takes about a second. */
const MAX_CHEAP_ROUTERS = 60
const FLEETS = [
  { routers: 9, drainMs: 2_000 },
  { routers: 60, drainMs: 3_000 },
  { routers: 195, drainMs: 4_000 },
]

type ListFleet = ReturnType<typeof createListFleet>

async function startFleet(options: ListFleetOptions): Promise<ListFleet> {
  const test = createListFleet(options)
  await test.play(SETTLED_MS)
  return test
}

/** Plays for some time in which all targets write their entries again and again. */
async function playHeartbeats(test: ListFleet, ms: number): Promise<void> {
  for (let playedMs = 0; playedMs < ms; playedMs += HEARTBEAT_MS) {
    for (const id of test.targetIds) test.log.rewrite(id)
    await test.play(HEARTBEAT_MS)
  }
}

/** Returns the routers that others get their list from: the aggregators, or all in a small fleet. */
function findSenders(test: ListFleet): ListRouter[] {
  return [...test.routers.values()].filter(
    ({ router }) => router.exchange.view.topology.role !== FleetRole.Member,
  )
}

const kill = (own: ListRouter): void => {
  own.router.isRunning = false
}

interface Disruption {
  readonly title: string
  /** Whether the largest fleet, which takes long to simulate, is disrupted so too. */
  readonly atScale?: boolean
  readonly options?: Partial<ListFleetOptions>
  /** Disrupts a fleet; returns the routers that are not in touch. */
  readonly disrupt: (test: ListFleet) => Promise<ListRouter[]> | ListRouter[]
}

const DISRUPTIONS: readonly Disruption[] = [
  { title: 'nothing else happens', atScale: true, disrupt: () => [] },
  {
    title: 'the router that polls for all dies',
    disrupt(test) {
      kill(test.reader())
      return []
    },
  },
  {
    title:
      'the router that polls for all dies and the log has dropped its older records',
    options: { retainedEntries: 40 },
    async disrupt(test) {
      await playHeartbeats(test, 10_000)
      kill(test.reader())
      return []
    },
  },
  {
    title:
      'the router that polls for all dies and an old page of the log comes first',
    options: { pageEntries: 30 },
    async disrupt(test) {
      await playHeartbeats(test, 10_000)
      kill(test.reader())
      return []
    },
  },
  {
    title: 'the router that polls for all is frozen',
    disrupt(test) {
      const reader = test.reader()
      reader.router.isFrozen = true
      return [reader]
    },
  },
  {
    title: 'the router that polls for all is cut from the log',
    disrupt(test) {
      const reader = test.reader()
      reader.isCutFromLog = true
      return [reader]
    },
  },
  {
    title: 'a third of the routers that pass lists on transfer none',
    atScale: true,
    disrupt(test) {
      const stuck = findSenders(test).filter((_, i) => i % 3 === 0)
      for (const own of stuck) own.isStuck = true
      return []
    },
  },
  {
    title: 'the router that polls for all transfers no list',
    disrupt(test) {
      test.reader().isStuck = true
      return []
    },
  },
  {
    title: 'a third of the routers that pass lists on are slow',
    atScale: true,
    disrupt(test) {
      const slow = findSenders(test).filter((_, i) => i % 3 === 0)
      for (const { router } of slow) router.lagMs = 900
      return slow
    },
  },
  {
    title: 'one datagram in five is lost',
    options: { lossRate: 0.2 },
    disrupt: () => [],
  },
]

for (const { routers, drainMs } of FLEETS)
  describe(`target lists of ${routers} routers`, () => {
    const disruptions =
      routers > MAX_CHEAP_ROUTERS
        ? DISRUPTIONS.filter(({ atScale }) => atScale)
        : DISRUPTIONS
    for (const { title, options, disrupt } of disruptions)
      it(`know of leaving targets within the drain time while ${title}`, async () => {
        const test = await startFleet({ routers, drainMs, ...options })
        const excused = new Set(await disrupt(test))
        const leftMs = await test.timeToLeave((own) => excused.has(own))
        assert.ok(leftMs <= drainMs, `offered for ${leftMs} ms`)
      })
  })
