import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FleetRole } from '../../membership/createTopology.js'
import { PolledSource } from '../createPollers.js'
import { createTestFleet } from './testFleet.js'
import type { TestRouter } from './testRouter.js'

const ROUTERS = 195
const TARGET = 'i-0000'
/** Longest time in which all routers must know that one has died, in milliseconds. */
const MAX_DETECTION_MS = 2_000
/** Longest time in which a load must be known at all routers, in milliseconds. */
const MAX_LOAD_AGE_MS = 1_000
const MAX_LOCATION_AGE_MS = 500

const POLLED = PolledSource.Targets

/** Time in which every router has heard of every other, in milliseconds. */
const WHOLE_VIEW_MS = 15_000

type TestFleet = ReturnType<typeof createTestFleet>

function startFleet(
  options: Partial<Parameters<typeof createTestFleet>[0]> = {},
): TestFleet {
  const fleet = createTestFleet({ routers: ROUTERS, ...options })
  fleet.runFor(5_000)
  return fleet
}

function liveCount({ exchange }: TestRouter, nowMs: number): number {
  return exchange.view.table.livePeers(nowMs).length
}

function withRole(fleet: TestFleet, role: FleetRole): TestRouter[] {
  return fleet
    .running()
    .filter(({ exchange }) => exchange.view.topology.role === role)
}

function assertTruth(fleet: TestFleet, targetId = TARGET): void {
  for (const { id, load } of fleet.running())
    assert.equal(
      load.total(targetId, fleet.nowMs).requests,
      fleet.truth(targetId),
      `load at ${id}`,
    )
}

describe('a fleet of 195 routers', () => {
  it('counts no sound peer as lost while datagrams are dropped, one router is frozen and one in six is slow', () => {
    const fleet = startFleet({ lossRate: 0.02 })
    const [frozen, ...rest] = withRole(fleet, FleetRole.Aggregator)
    assert.ok(frozen)
    for (const [i, router] of rest.entries())
      if (i % 6 === 0) router.lagMs = 150
    const lossesBefore = new Map(
      fleet.running().map((router) => [router, router.lost.length]),
    )
    frozen.isFrozen = true
    fleet.runFor(4_000)
    frozen.isFrozen = false
    fleet.runFor(4_000)
    for (const router of fleet.running()) {
      const lost = router.lost.slice(lossesBefore.get(router))
      assert.deepEqual(
        lost.filter(([peer]) => peer !== frozen.id),
        [],
        `lost at ${router.id}`,
      )
      for (const { id } of fleet.running())
        if (id !== router.id && id !== frozen.id)
          assert.ok(
            router.exchange.view.table.isPresent(id, fleet.nowMs),
            `${id} at ${router.id}`,
          )
    }
    fleet.runFor(WHOLE_VIEW_MS)
    for (const router of fleet.running())
      assert.equal(liveCount(router, fleet.nowMs), ROUTERS - 1, router.id)
  })

  it('knows everywhere within 2 s that a router has died', () => {
    for (const role of [FleetRole.Aggregator, FleetRole.Member]) {
      const fleet = startFleet()
      const dead = withRole(fleet, role)[0]
      assert.ok(dead)
      dead.isRunning = false
      fleet.runFor(MAX_DETECTION_MS)
      for (const router of fleet.running())
        assert.equal(
          router.exchange.view.table.find(dead.id, fleet.nowMs),
          undefined,
          `${role} ${dead.id} at ${router.id}`,
        )
    }
  })

  it('counts the load of each router once', () => {
    const fleet = startFleet()
    for (const { load } of fleet.running()) load.recordStart(TARGET, 100)
    fleet.runFor(MAX_LOAD_AGE_MS)
    assert.equal(fleet.truth(TARGET), ROUTERS)
    assertTruth(fleet)
  })

  it('counts it once after half of the aggregators have died', () => {
    const fleet = startFleet()
    for (const { load } of fleet.running()) load.recordStart(TARGET, 100)
    fleet.runFor(MAX_LOAD_AGE_MS)
    const aggregators = withRole(fleet, FleetRole.Aggregator)
    for (const router of aggregators.slice(0, aggregators.length / 2))
      router.isRunning = false
    fleet.runFor(5_000)
    assertTruth(fleet)
  })

  it('tells every router of a new cache location within half a second, at the median', () => {
    const fleet = startFleet()
    const [from] = withRole(fleet, FleetRole.Member)
    assert.ok(from)
    from.cacheLocations.add('prompt', TARGET)
    fleet.sendNow(from)
    fleet.runFor(MAX_LOCATION_AGE_MS)
    const knowing = fleet
      .running()
      .filter(({ cacheLocations }) => cacheLocations.cachedOn('prompt').length)
    assert.ok(knowing.length > ROUTERS / 2, `${knowing.length} know it`)
    fleet.runFor(MAX_LOCATION_AGE_MS)
    for (const { id, cacheLocations } of fleet.running())
      assert.deepEqual(cacheLocations.cachedOn('prompt'), [TARGET], id)
  })

  it('has one view after all routers were killed and started within a second', () => {
    const fleet = startFleet()
    for (const router of fleet.running()) router.isRunning = false
    fleet.runFor(1_000)
    const ids = [...fleet.routers.keys()]
    for (const [i, id] of ids.entries()) {
      fleet.restart(id).load.recordStart(TARGET, 100)
      if (i % 20 === 0) fleet.runFor(100)
    }
    fleet.runFor(2_000)
    assertTruth(fleet)
    fleet.runFor(WHOLE_VIEW_MS)
    for (const router of fleet.running())
      assert.equal(liveCount(router, fleet.nowMs), ROUTERS - 1, router.id)
  })

  it('takes in three quarters more routers at once', () => {
    const fleet = startFleet({ routers: 110 })
    for (let i = 0; i < 85; i += 1)
      fleet.restart(`joined-${i}`).load.recordStart(TARGET, 100)
    fleet.runFor(5_000)
    assertTruth(fleet)
    fleet.runFor(WHOLE_VIEW_MS)
    for (const router of fleet.running())
      assert.equal(liveCount(router, fleet.nowMs), 194, router.id)
  })

  it('is one again after a fifth of it was cut off', () => {
    const fleet = startFleet()
    for (const { load } of fleet.running()) load.recordStart(TARGET, 100)
    const isInside = (id: string): boolean => id < 'router-0039'
    fleet.setCut((from, to) => isInside(from) !== isInside(to))
    const isRight = ({ id, load }: TestRouter): boolean =>
      load.total(TARGET, fleet.nowMs).requests ===
      (isInside(id) ? 39 : ROUTERS - 39)
    for (let ms = 0; ms < 2 * WHOLE_VIEW_MS; ms += 500) {
      fleet.runFor(500)
      if (fleet.running().every(isRight)) break
    }
    const wrong = fleet.running().filter((router) => !isRight(router))
    assert.deepEqual(
      wrong.map(({ id }) => id),
      [],
    )
    fleet.setCut(() => false)
    fleet.runFor(WHOLE_VIEW_MS)
    assertTruth(fleet)
    for (const router of fleet.running())
      assert.equal(liveCount(router, fleet.nowMs), ROUTERS - 1, router.id)
  })

  it('moves the members of an aggregator before it has stopped', () => {
    const fleet = startFleet()
    const [stopping] = withRole(fleet, FleetRole.Aggregator)
    assert.ok(stopping)
    stopping.isStopping = true
    fleet.runFor(2_000)
    stopping.isRunning = false
    fleet.runFor(200)
    const orphans = fleet
      .running()
      .filter(({ exchange }) => exchange.view.topology.parent === stopping.id)
    assert.equal(orphans.length, 0)
  })

  it('hears of the router that polls the log, and of its death', () => {
    const fleet = startFleet()
    const [reader] = withRole(fleet, FleetRole.Member)
    assert.ok(reader)
    const knowing = (): number =>
      fleet
        .running()
        .filter(
          ({ pollers }) => pollers.latestAgeMs(POLLED, fleet.nowMs) < 2_000,
        ).length
    for (let i = 0; i < 20; i += 1) {
      reader.pollAgeMs = 0
      fleet.runFor(100)
    }
    // The reader itself knows its own polls.
    assert.equal(knowing(), ROUTERS - 1)
    reader.isRunning = false
    fleet.runFor(2_500)
    assert.equal(knowing(), 0)
  })
})
