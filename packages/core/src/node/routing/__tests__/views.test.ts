import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createFlapDamper } from '../createFlapDamper.js'
import { createTargetListGuard } from '../createTargetListGuard.js'

describe('the view guard', () => {
  it('keeps the last view when more than half vanishes, for a while', () => {
    const guard = createTargetListGuard({
      maxVanished: 0.5,
      believeAfterMs: 1_000,
    })
    const all = ['a', 'b', 'c', 'd']
    assert.deepEqual(guard.accept(all, 0), all)
    assert.deepEqual(guard.accept(['a'], 1), all)
    assert.deepEqual(guard.accept(['a'], 1_000), all)
    assert.deepEqual(guard.accept(['a'], 1_001), ['a'])
  })

  it('believes a list that misses half or less', () => {
    const guard = createTargetListGuard({ maxVanished: 0.5 })
    guard.accept(['a', 'b', 'c', 'd'], 0)
    assert.deepEqual(guard.accept(['a', 'b'], 1), ['a', 'b'])
  })
})

describe('the flap damper', () => {
  it('lets a first return in at once and doubles the hold-down after', () => {
    const damper = createFlapDamper({ baseMs: 100 })
    assert.ok(damper.update('t', true, 0))
    assert.ok(!damper.update('t', false, 10))
    assert.ok(damper.update('t', true, 20))
    damper.update('t', false, 30)
    assert.ok(!damper.update('t', true, 40))
    assert.ok(!damper.update('t', true, 139))
    assert.ok(damper.update('t', true, 140))
    damper.update('t', false, 150)
    assert.ok(!damper.update('t', true, 160))
    assert.ok(!damper.update('t', true, 359))
    assert.ok(damper.update('t', true, 360))
  })

  it('forgets leaves after good conduct', () => {
    const damper = createFlapDamper({ baseMs: 100, forgetMs: 1_000 })
    damper.update('t', true, 0)
    damper.update('t', false, 10)
    damper.update('t', true, 20)
    damper.update('t', false, 2_000)
    assert.ok(damper.update('t', true, 2_010))
  })
})
