import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createFlapDamper } from '../createFlapDamper.js'

describe('createFlapDamper', () => {
  it('does not hold down the first return and doubles the time after', () => {
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

  it('forgets leaves after a long time without one', () => {
    const damper = createFlapDamper({ baseMs: 100, forgetMs: 1_000 })
    damper.update('t', true, 0)
    damper.update('t', false, 10)
    damper.update('t', true, 20)
    damper.update('t', false, 2_000)
    assert.ok(damper.update('t', true, 2_010))
  })
})
