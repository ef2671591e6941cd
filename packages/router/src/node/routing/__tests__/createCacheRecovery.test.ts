import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type {
  CacheInventory,
  CacheListing,
} from '../../targets/cacheInventory.js'
import type { Target } from '../../targets/target.js'
import { assignedTargets } from '../assignedTargets.js'
import { createCacheLocations } from '../createCacheLocations.js'
import {
  type RecoveryPeers,
  createCacheRecovery,
} from '../createCacheRecovery.js'

const TARGETS = Array.from({ length: 9 }, (_, i): Target => ({
  id: `t${i}`,
  service: 's',
  host: '10.0.0.1',
  port: i,
  slots: 4,
  softwareVersion: 'v1',
  draining: false,
}))
const now = () => 0
const SILENT_TARGETS = {
  observe: () => undefined,
  acceptsRequests: () => true,
}
const ROUTERS = ['r1', 'r2', 'r3', 'r4']

const listing = (parts: string[]): CacheListing => ({
  statement: { leaving: false, namesAllLimits: false },
  parts,
})
const promptOf = ({ id }: Target): string => `prompt of ${id}`

/** Recovers as `router`; returns the targets that it asked and the locations that it learnt. */
async function recover(
  router: string,
  peers: Partial<RecoveryPeers>,
  list: CacheInventory['list'] = (target) =>
    Promise.resolve(listing([promptOf(target)])),
) {
  const asked: string[] = []
  const cacheLocations = createCacheLocations(100)
  const recovery = createCacheRecovery({
    router,
    inventory: {
      list: (target) => {
        asked.push(target.id)
        return list(target)
      },
    },
    cacheLocations,
    targets: () => TARGETS,
    statements: SILENT_TARGETS,
    peers: {
      listedRouters: () => ROUTERS,
      expectedPeers: () => ROUTERS.filter((peer) => peer !== router),
      hasEstablishedPeer: () => false,
      scheduleBroadcast: () => undefined,
      ...peers,
    },
    log: { write: () => undefined },
    now,
  })
  await recovery.done
  return { asked, cacheLocations }
}

describe('createCacheRecovery', () => {
  it('asks each target once in the whole fleet and reports its prompts to peers', async () => {
    const fleet = await Promise.all(
      ROUTERS.map((router) => recover(router, {})),
    )
    const asked = fleet.flatMap((router) => router.asked).sort()
    assert.deepEqual(
      asked,
      TARGETS.map(({ id }) => id),
    )
    const reported = fleet.flatMap(({ cacheLocations }) =>
      cacheLocations.takeUpdates(),
    )
    for (const target of TARGETS)
      assert.ok(
        reported.some(
          ([key, id]) => key === promptOf(target) && id === target.id,
        ),
      )
  })

  it('takes over the share of listed routers that are gone', async () => {
    const live = ['r1', 'r2']
    const fleet = await Promise.all(
      live.map((router) =>
        recover(router, {
          expectedPeers: () => live.filter((peer) => peer !== router),
        }),
      ),
    )
    const asked = fleet.flatMap((router) => router.asked).sort()
    assert.deepEqual(
      asked,
      TARGETS.map(({ id }) => id),
    )
  })

  it('leaves the shares of others to a peer that still knows the locations', async () => {
    const { asked } = await recover('r1', {
      expectedPeers: () => [],
      hasEstablishedPeer: () => true,
    })
    assert.deepEqual(
      asked,
      assignedTargets('r1', ROUTERS, TARGETS).map(({ id }) => id),
    )
  })

  it('asks all targets if neither directory nor peers are known', async () => {
    const { asked } = await recover('r1', {
      listedRouters: () => undefined,
      expectedPeers: () => [],
    })
    assert.equal(asked.length, TARGETS.length)
  })

  it('waits for the target list and delays no request until then', async () => {
    const listed: Target[] = []
    let nowMs = 1_000
    const asked: string[] = []
    const recovery = createCacheRecovery({
      router: 'r1',
      inventory: {
        list: ({ id }) => {
          asked.push(id)
          return Promise.resolve(listing([]))
        },
      },
      cacheLocations: createCacheLocations(100),
      targets: () => (listed.length > 0 ? listed : undefined),
      statements: SILENT_TARGETS,
      peers: {
        listedRouters: () => [],
        expectedPeers: () => [],
        hasEstablishedPeer: () => true,
        scheduleBroadcast: () => undefined,
      },
      log: { write: () => undefined },
      now: () => nowMs,
    })
    assert.equal(recovery.remainingMs(), 0)
    listed.push(...TARGETS)
    await recovery.done
    assert.equal(asked.length, TARGETS.length)
    assert.ok(recovery.remainingMs() > 0)
    nowMs += 1_000
    assert.equal(recovery.remainingMs(), 0)
  })

  it('goes on without the targets that do not respond', async () => {
    const { cacheLocations } = await recover(
      'r1',
      { listedRouters: () => [], expectedPeers: () => [] },
      (target) =>
        Promise.resolve(
          target.id === 't0' ? undefined : listing([promptOf(target)]),
        ),
    )
    const [first, second] = TARGETS
    assert.ok(first && second)
    assert.deepEqual(cacheLocations.cachedOn(promptOf(first)), [])
    assert.deepEqual(cacheLocations.cachedOn(promptOf(second)), [second.id])
  })
})
