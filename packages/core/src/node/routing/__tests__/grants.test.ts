import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createCreditPool } from '../createCreditPool.js'
import { createGroupCoordinator } from '../createGroupCoordinator.js'
import { createFallbackQuota } from '../createFallbackQuota.js'
import { GrantStatus } from '../grantStatus.js'
import { groupTargets } from '../targetGroup.js'

const FACTOR = 1.25
const routers = ['r1', 'r2', 'r3']

function groupOf(size: number) {
  const targets = Array.from({ length: size }, (_, index) => ({
    id: `t${index}`,
    weight: 1,
  }))
  const [group] = groupTargets('model', targets)
  assert.ok(group)
  return group
}

function creditPoolOf(group: ReturnType<typeof groupOf>, router: string) {
  return createCreditPool({ group, router, incarnation: router })
}

const contextAt = (nowMs: number) => ({
  nowMs,
  maxLoadFactor: FACTOR,
  eligible: () => true,
  reported: () => undefined,
})

const stepArbitrary = fc.record({
  router: fc.nat(2),
  action: fc.constantFrom(
    'request slot',
    'request slot',
    'request slot',
    'finish',
    'lose response',
    'report',
  ),
  key: fc.string(),
  target: fc.nat(),
})

function startCoordinator(
  group: ReturnType<typeof groupOf>,
  pools: ReturnType<typeof creditPoolOf>[],
) {
  const coordinator = createGroupCoordinator({ group, router: 'r1' })
  const epoch = Math.max(...pools.map((pool) => pool.epoch))
  for (const { to, request } of coordinator.update({
    coordinator: 'r1',
    routers,
    epoch,
    nowMs: 0,
  })) {
    const pool = pools[routers.indexOf(to)]
    if (pool)
      coordinator.applyCollectResponse(pool.handleCollectRequest(request), 0)
  }
  return coordinator
}

describe('grants of a coordinator', () => {
  it('stay within the bound by the actual counts, even if responses are lost', () => {
    const property = fc.property(
      fc.integer({ min: 2, max: 13 }),
      fc.array(stepArbitrary, { maxLength: 120 }),
      (size, steps) => {
        const group = groupOf(size)
        const pools = routers.map((router) => creditPoolOf(group, router))
        const coordinator = startCoordinator(group, pools)
        assert.ok(coordinator.granting)
        const loads = () =>
          group.members.map((_, index) =>
            pools.reduce(
              (sum, { inFlight }) => sum + (inFlight[index] ?? 0),
              0,
            ),
          )
        let nowMs = 1
        for (const { router, action, key, target } of steps) {
          nowMs += 1
          const pool = pools[router]
          assert.ok(pool)
          const index = target % size
          if (action === 'finish') {
            if ((pool.inFlight[index] ?? 0) > 0) pool.removeInFlight(index)
            // The end is reported before the next step.
            const request = pool.createGrantRequest([], nowMs)
            pool.applyGrantResponse(
              request.sequence,
              coordinator.handleGrantRequest(request, contextAt(nowMs)),
            )
            continue
          }
          const wants = action === 'report' ? [] : [{ key, exclude: [] }]
          const request = pool.createGrantRequest(wants, nowMs)
          const response = coordinator.handleGrantRequest(
            request,
            contextAt(nowMs),
          )
          assert.equal(response.status, GrantStatus.Granted)
          if (action === 'lose response') {
            pool.abandonRequest()
            continue
          }
          const [granted = -1] =
            pool.applyGrantResponse(request.sequence, response) ?? []
          if (granted < 0) continue
          const after = loads()
          const total = after.reduce((sum, load) => sum + load, 0)
          const bound = (FACTOR * total) / size + 1
          assert.ok((after[granted] ?? 0) <= bound)
        }
      },
    )
    fc.assert(property, { seed: 21, numRuns: 200 })
  })

  it('are void once a newer coordinator has collected the counts', () => {
    const group = groupOf(4)
    const pools = routers.map((router) => creditPoolOf(group, router))
    const [pool] = pools
    assert.ok(pool)
    const old = startCoordinator(group, pools)
    const late = pool.createGrantRequest([{ key: 'chat', exclude: [] }], 1)
    const response = old.handleGrantRequest(late, contextAt(1))
    const next = startCoordinator(group, pools)
    assert.ok(next.granting)
    assert.equal(pool.applyGrantResponse(late.sequence, response), undefined)
    const again = pool.createGrantRequest([{ key: 'chat', exclude: [] }], 2)
    assert.equal(
      old.handleGrantRequest(again, contextAt(2)).status,
      GrantStatus.NotCoordinator,
    )
    assert.equal(
      next.handleGrantRequest(again, contextAt(2)).status,
      GrantStatus.Granted,
    )
    assert.deepEqual(pool.inFlight, [0, 0, 0, 0])
  })

  it('are refused while counts are missing, for other members and for old messages', () => {
    const group = groupOf(4)
    const pool = creditPoolOf(group, 'r2')
    const coordinator = createGroupCoordinator({ group, router: 'r1' })
    coordinator.update({ coordinator: 'r1', routers, epoch: 0, nowMs: 0 })
    const first = pool.createGrantRequest([{ key: 'chat', exclude: [] }], 1)
    assert.equal(
      coordinator.handleGrantRequest(first, contextAt(1)).status,
      GrantStatus.Collecting,
    )
    assert.equal(
      coordinator.handleGrantRequest(first, contextAt(2)).status,
      GrantStatus.Stale,
    )
    const other = creditPoolOf(groupOf(5), 'r3').createGrantRequest([], 1)
    const differing = coordinator.handleGrantRequest(
      { ...other, group: group.id },
      contextAt(2),
    )
    assert.equal(differing.status, GrantStatus.ViewsDiffer)
  })
})

describe('createFallbackQuota', () => {
  it('assigns each free slot up to the bound to exactly one router', () => {
    const property = fc.property(
      fc.array(fc.nat(30), { minLength: 1, maxLength: 16 }),
      fc.integer({ min: 1, max: 12 }),
      (known, count) => {
        const group = groupOf(known.length)
        const ids = Array.from(
          { length: count },
          (_, index) => `router-${index}`,
        )
        const loads = [...known]
        for (const id of ids) {
          const quota = createFallbackQuota(group, id)
          quota.refresh({
            routers: ids,
            knownLoads: known,
            ageMs: 0,
            maxAgeMs: 1_000,
            maxLoadFactor: FACTOR,
            eligible: () => true,
          })
          for (const index of loads.keys()) {
            while (quota.hasQuota(index)) {
              quota.consume(index)
              loads[index] = (loads[index] ?? 0) + 1
            }
          }
        }
        const total = known.reduce((sum, load) => sum + load, 0)
        const bound = (FACTOR * total) / known.length + 1
        for (const [index, load] of loads.entries()) {
          const before = known[index] ?? 0
          assert.equal(load, Math.max(before, Math.floor(bound)))
        }
      },
    )
    fc.assert(property, { seed: 22 })
  })
})
