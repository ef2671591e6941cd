import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createUpdateScheduler } from '../createUpdateScheduler.js'

function setUp() {
  const state = { nowMs: 0, active: false, updates: 0 }
  const scheduler = createUpdateScheduler({
    update: () => {
      state.updates += 1
    },
    isActive: () => state.active,
    intervalMs: 100,
    now: () => state.nowMs,
  })
  const runIntervals = (count: number): void => {
    for (let interval = 0; interval < count; interval += 1) {
      scheduler.updateIfDue()
      state.nowMs += 100
    }
  }
  return { state, scheduler, runIntervals }
}

describe('createUpdateScheduler', () => {
  it('updates every 500 ms while no group is active', () => {
    const { state, runIntervals } = setUp()
    runIntervals(50)
    assert.equal(state.updates, 10)
  })

  it('updates every interval while a group is active', () => {
    const { state, runIntervals } = setUp()
    state.active = true
    runIntervals(50)
    assert.equal(state.updates, 50)
  })

  it('updates a stale view on demand', () => {
    const { state, scheduler, runIntervals } = setUp()
    runIntervals(5)
    scheduler.updateIfStale()
    assert.equal(state.updates, 2)
    scheduler.updateIfStale()
    assert.equal(state.updates, 2)
  })
})
