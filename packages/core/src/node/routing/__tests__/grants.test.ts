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

function holderOf(group: ReturnType<typeof groupOf>, router: string) {
  return createCreditPool({ group, router, incarnation: router })
}

const ledgerView = (nowMs: number) => ({
  nowMs,
  maxLoadFactor: FACTOR,
  eligible: () => true,
  reported: () => undefined,
})

const stepArbitrary = fc.record({
  router: fc.nat(2),
  action: fc.constantFrom(
    'place',
    'place',
    'place',
    'finish',
    'lose reply',
    'return',
  ),
  key: fc.string(),
  target: fc.nat(),
})

function openHome(
  group: ReturnType<typeof groupOf>,
  holders: ReturnType<typeof holderOf>[],
) {
  const home = createGroupCoordinator({ group, router: 'r1' })
  const epoch = Math.max(...holders.map((holder) => holder.epoch))
  for (const { to, request: ask } of home.update({
    coordinator: 'r1',
    routers,
    epoch,
    nowMs: 0,
  })) {
    const holder = holders[routers.indexOf(to)]
    if (holder) home.applyCollectResponse(holder.handleCollectRequest(ask), 0)
  }
  return home
}

describe('grants', () => {
  it('never exceed the bound by the true counts, also when replies are lost', () => {
    const property = fc.property(
      fc.integer({ min: 2, max: 13 }),
      fc.array(stepArbitrary, { maxLength: 120 }),
      (size, steps) => {
        const group = groupOf(size)
        const holders = routers.map((router) => holderOf(group, router))
        const home = openHome(group, holders)
        assert.ok(home.granting)
        const loads = () =>
          group.members.map((_, index) =>
            holders.reduce(
              (sum, { inFlight: used }) => sum + (used[index] ?? 0),
              0,
            ),
          )
        let nowMs = 1
        for (const { router, action, key, target } of steps) {
          nowMs += 1
          const holder = holders[router]
          assert.ok(holder)
          const index = target % size
          if (action === 'finish') {
            if ((holder.inFlight[index] ?? 0) > 0) holder.removeInFlight(index)
            // The home hears of the end before anything else happens.
            const ask = holder.createGrantRequest([], nowMs)
            holder.applyGrantResponse(
              ask.sequence,
              home.handleGrantRequest(ask, ledgerView(nowMs)),
            )
            continue
          }
          const wants = action === 'return' ? [] : [{ key, exclude: [] }]
          const ask = holder.createGrantRequest(wants, nowMs)
          const reply = home.handleGrantRequest(ask, ledgerView(nowMs))
          assert.equal(reply.status, GrantStatus.Granted)
          if (action === 'lose reply') {
            holder.abandonRequest()
            continue
          }
          const [granted = -1] =
            holder.applyGrantResponse(ask.sequence, reply) ?? []
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

  it('of an old home are void once a new home has collected', () => {
    const group = groupOf(4)
    const holders = routers.map((router) => holderOf(group, router))
    const [holder] = holders
    assert.ok(holder)
    const old = openHome(group, holders)
    const late = holder.createGrantRequest([{ key: 'chat', exclude: [] }], 1)
    const reply = old.handleGrantRequest(late, ledgerView(1))
    const next = openHome(group, holders)
    assert.ok(next.granting)
    assert.equal(holder.applyGrantResponse(late.sequence, reply), undefined)
    const again = holder.createGrantRequest([{ key: 'chat', exclude: [] }], 2)
    assert.equal(
      old.handleGrantRequest(again, ledgerView(2)).status,
      GrantStatus.NotCoordinator,
    )
    assert.equal(
      next.handleGrantRequest(again, ledgerView(2)).status,
      GrantStatus.Granted,
    )
    assert.deepEqual(holder.inFlight, [0, 0, 0, 0])
  })

  it('are refused while counts are missing, to differing views and to old messages', () => {
    const group = groupOf(4)
    const holder = holderOf(group, 'r2')
    const home = createGroupCoordinator({ group, router: 'r1' })
    home.update({ coordinator: 'r1', routers, epoch: 0, nowMs: 0 })
    const first = holder.createGrantRequest([{ key: 'chat', exclude: [] }], 1)
    assert.equal(
      home.handleGrantRequest(first, ledgerView(1)).status,
      GrantStatus.Collecting,
    )
    assert.equal(
      home.handleGrantRequest(first, ledgerView(2)).status,
      GrantStatus.Stale,
    )
    const other = holderOf(groupOf(5), 'r3').createGrantRequest([], 1)
    const differing = home.handleGrantRequest(
      { ...other, group: group.id },
      ledgerView(2),
    )
    assert.equal(differing.status, GrantStatus.ViewsDiffer)
  })
})

describe('shares', () => {
  it('of all routers together stay within the bound', () => {
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
          const shares = createFallbackQuota(group, id)
          shares.refresh({
            routers: ids,
            knownLoads: known,
            ageMs: 0,
            maxAgeMs: 1_000,
            maxLoadFactor: FACTOR,
            eligible: () => true,
          })
          for (const index of loads.keys()) {
            while (shares.hasQuota(index)) {
              shares.consume(index)
              loads[index] = (loads[index] ?? 0) + 1
            }
          }
        }
        const total = known.reduce((sum, load) => sum + load, 0)
        const bound = (FACTOR * total) / known.length + 1
        for (const [index, load] of loads.entries()) {
          const before = known[index] ?? 0
          // Every free level up to the bound belongs to exactly one router.
          assert.equal(load, Math.max(before, Math.floor(bound)))
        }
      },
    )
    fc.assert(property, { seed: 22 })
  })
})
