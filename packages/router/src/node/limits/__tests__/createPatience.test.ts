import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createPatience } from '../createPatience.js'

describe('createPatience', () => {
  it('leaves another target time to answer within the target latency', () => {
    const patience = createPatience()
    for (let i = 0; i < 20; i += 1) patience.note('r', 30)
    assert.ok(patience.limitMs('r', 400) + 30 < 400)
  })

  it('waits longer while all answers take longer', () => {
    const patience = createPatience()
    for (let i = 0; i < 100; i += 1) patience.note('r', 900)
    assert.ok(patience.limitMs('r', 400) > 2 * 900)
    assert.ok(patience.limitMs('other', 400) < 400)
  })
})
