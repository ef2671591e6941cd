import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createHeaderTimeout } from '../createHeaderTimeout.js'

describe('createHeaderTimeout', () => {
  it('leaves another target time to respond within the target latency', () => {
    const timeout = createHeaderTimeout()
    for (let i = 0; i < 20; i += 1) timeout.recordHeaderTime('r', 30)
    assert.ok(timeout.timeoutMs('r', 400) + 30 < 400)
  })

  it('waits longer while all responses take longer', () => {
    const timeout = createHeaderTimeout()
    for (let i = 0; i < 100; i += 1) timeout.recordHeaderTime('r', 900)
    assert.ok(timeout.timeoutMs('r', 400) > 2 * 900)
    assert.ok(timeout.timeoutMs('other', 400) < 400)
  })
})
