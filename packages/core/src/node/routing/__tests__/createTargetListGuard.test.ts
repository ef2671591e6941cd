import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createTargetListGuard } from '../createTargetListGuard.js'

describe('createTargetListGuard', () => {
  it('keeps the last list for a while if more than half of it vanishes', () => {
    const guard = createTargetListGuard({
      maxVanished: 0.5,
      acceptAfterMs: 1_000,
    })
    const all = ['a', 'b', 'c', 'd']
    assert.deepEqual(guard.accept(all, 0), all)
    assert.deepEqual(guard.accept(['a'], 1), all)
    assert.deepEqual(guard.accept(['a'], 1_000), all)
    assert.deepEqual(guard.accept(['a'], 1_001), ['a'])
  })

  it('accepts a list without half of the targets or less', () => {
    const guard = createTargetListGuard({ maxVanished: 0.5 })
    guard.accept(['a', 'b', 'c', 'd'], 0)
    assert.deepEqual(guard.accept(['a', 'b'], 1), ['a', 'b'])
  })
})
