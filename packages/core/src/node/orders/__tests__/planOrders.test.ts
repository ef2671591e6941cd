import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DRAIN_PROPAGATION_MS } from '../drainStatus.js'
import { createLoadBudget, refillBudget } from '../loadBudget.js'
import {
  OrderActionKind,
  type ManagedTarget,
  planOrders,
} from '../planOrders.js'
import { engineStateSchema } from '../engineState.js'

const first = engineStateSchema.parse({ model: 'first' })
const second = engineStateSchema.parse({ model: 'second' })
const lease = { token: 7, validUntilMs: 100_000 }
const empty = (atMs: number) => ({ inFlight: 0, atMs })
const afterMs = DRAIN_PROPAGATION_MS + 10

function kinds(target: Partial<ManagedTarget>, loads = 10, nowMs = 0) {
  const managed = {
    id: 'engine-1',
    service: 'briefing',
    desired: second,
    observed: first,
    drain: { routers: [] },
    ...target,
  }
  const plan = planOrders({ targets: [managed], lease, loads, nowMs })
  return plan.map(({ kind }) => kind)
}

describe('planOrders', () => {
  it('sends a destructive change only after routers and target report a drain', () => {
    const { Drain, Send } = OrderActionKind
    const routers = [empty(afterMs), empty(afterMs)]
    const target = empty(afterMs)
    const busy = { inFlight: 1, atMs: afterMs }
    const drains = [
      { routers: [] },
      { sinceMs: 0, routers },
      { sinceMs: 0, routers: [...routers, busy], target },
      { sinceMs: 0, routers, target: busy },
      { sinceMs: 0, routers, target: empty(DRAIN_PROPAGATION_MS - 1) },
      { sinceMs: 0, routers: [empty(10)], target },
    ]
    for (const drain of drains) assert.deepEqual(kinds({ drain }), [Drain])
    assert.deepEqual(kinds({ drain: { sinceMs: 0, routers, target } }), [Send])
  })

  it('adds an adapter without draining', () => {
    const desired = { ...first, adapters: { polar: '1' } }
    assert.deepEqual(kinds({ desired }), [OrderActionKind.Send])
    const removed = { observed: desired, desired: first }
    assert.deepEqual(kinds(removed), [OrderActionKind.Drain])
  })

  it('does nothing with an expired lease, an unresponsive target or the desired state', () => {
    assert.deepEqual(kinds({}, 10, lease.validUntilMs), [])
    assert.deepEqual(kinds({ observed: undefined }), [])
    assert.deepEqual(kinds({ observed: second }), [])
  })

  it('drains a quarter of a service at once, and at least one target', () => {
    const countDraining = (count: number): number => {
      const targets = Array.from({ length: count }, (_, index) => ({
        id: `engine-${index}`,
        service: 'briefing',
        desired: second,
        observed: first,
        drain: { routers: [] },
      }))
      return planOrders({ targets, lease, loads: 100, nowMs: 0 }).length
    }
    assert.deepEqual([1, 2, 13].map(countDraining), [1, 1, 3])
  })

  it('drains a drifted target although no drain slot is left', () => {
    const common = { service: 'briefing', desired: second, observed: first }
    const routers = { routers: [] }
    const draining = { ...common, id: 'a', drain: { sinceMs: 0, ...routers } }
    const drainedIds = (drifted: boolean): string[] => {
      const other: ManagedTarget = {
        ...common,
        id: 'b',
        drain: routers,
        drifted,
      }
      const targets = [draining, other]
      const actions = planOrders({ targets, lease, loads: 9, nowMs: 0 })
      return actions.map(({ target }) => target)
    }
    assert.deepEqual(drainedIds(false), ['a'])
    assert.deepEqual(drainedIds(true), ['a', 'b'])
  })

  it('waits until all routers use a changed target again', () => {
    const common = { service: 'briefing', desired: second }
    const changed = {
      ...common,
      id: 'engine-1',
      observed: second,
      drain: { routers: [] },
      readmittedAtMs: 5_000,
    }
    const next = {
      ...common,
      id: 'engine-2',
      observed: first,
      drain: { routers: [] },
    }
    const targets = [changed, next]
    const count = (nowMs: number): number =>
      planOrders({ targets, lease, loads: 9, nowMs }).length
    assert.deepEqual([count(4_999), count(5_000)], [0, 1])
  })

  it('does not drain before the load budget allows the weight load', () => {
    assert.deepEqual(kinds({}, 0), [OrderActionKind.AwaitBudget])
    let budget = createLoadBudget(0)
    budget = refillBudget(budget, 6, 9_000)
    assert.ok(budget.available < 1)
    budget = refillBudget(budget, 6, 11_000)
    assert.ok(budget.available >= 1)
    assert.equal(refillBudget(budget, 6, 9_999_999).available, 6)
  })
})
