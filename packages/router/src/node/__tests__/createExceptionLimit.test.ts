import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createExceptionLimit } from '../createExceptionLimit.js'

/** Guards against a router that ends at the first exception, or lives on in a broken state. */
describe('createExceptionLimit', () => {
  it('lets a router go on after single exceptions', () => {
    let nowMs = 0
    const isWithinLimit = createExceptionLimit(() => nowMs)
    for (let i = 0; i < 100; i += 1) {
      assert.ok(isWithinLimit())
      nowMs += 2_000
    }
  })

  it('ends it when exceptions follow each other', () => {
    const isWithinLimit = createExceptionLimit(() => 0)
    const results = Array.from({ length: 12 }, isWithinLimit)
    assert.equal(results.indexOf(false), 9)
  })
})
