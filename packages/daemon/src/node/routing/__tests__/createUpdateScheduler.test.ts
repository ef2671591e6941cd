import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createUpdateScheduler } from '../createUpdateScheduler.js'

function startPace() {
  const state = { nowMs: 0, used: false, updates: 0 }
  const pace = createUpdateScheduler({
    update: () => {
      state.updates += 1
    },
    isActive: () => state.used,
    intervalMs: 100,
    now: () => state.nowMs,
  })
  const turns = (count: number): void => {
    for (let turn = 0; turn < count; turn += 1) {
      pace.updateIfDue()
      state.nowMs += 100
    }
  }
  return { state, pace, turns }
}

describe('the pace of updates', () => {
  it('is one each 500 ms while nothing is in use', () => {
    const { state, turns } = startPace()
    turns(50)
    assert.equal(state.updates, 10)
  })

  it('is each turn while a group is in use', () => {
    const { state, turns } = startPace()
    state.used = true
    turns(50)
    assert.equal(state.updates, 50)
  })

  it('brings an old view up to date before a request is placed', () => {
    const { state, pace, turns } = startPace()
    turns(5)
    pace.updateIfStale()
    assert.equal(state.updates, 2)
    pace.updateIfStale()
    assert.equal(state.updates, 2)
  })
})
