import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createHeaderTimeout } from '../createHeaderTimeout.js'

describe('createPatience', () => {
  it('leaves another target time to answer within the target latency', () => {
    const patience = createHeaderTimeout()
    for (let i = 0; i < 20; i += 1) patience.recordHeaderTime('r', 30)
    assert.ok(patience.timeoutMs('r', 400) + 30 < 400)
  })

  it('waits longer while all answers take longer', () => {
    const patience = createHeaderTimeout()
    for (let i = 0; i < 100; i += 1) patience.recordHeaderTime('r', 900)
    assert.ok(patience.timeoutMs('r', 400) > 2 * 900)
    assert.ok(patience.timeoutMs('other', 400) < 400)
  })
})
