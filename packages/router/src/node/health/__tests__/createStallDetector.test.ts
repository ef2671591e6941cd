import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStallDetector } from '../createStallDetector.js'

describe('createSilenceWatch', () => {
  it('takes a target that owes answers and sends nothing for silent', () => {
    const watch = createStallDetector(1_000)
    watch.recordSent('t', 0)
    watch.recordSent('t', 900)
    assert.equal(watch.isStalled('t', 1_000), false)
    assert.equal(watch.isStalled('t', 1_001), true)
  })

  it('takes a target that sends other answers for alive', () => {
    const watch = createStallDetector(1_000)
    watch.recordSent('t', 0)
    watch.recordActivity('t', 900)
    assert.equal(watch.isStalled('t', 1_500), false)
  })

  it('takes a target that owes nothing for alive', () => {
    const watch = createStallDetector(1_000)
    watch.recordSent('t', 0)
    watch.recordEnd('t')
    assert.equal(watch.isStalled('t', 5_000), false)
    watch.recordSent('t', 5_000)
    assert.equal(watch.isStalled('t', 5_900), false)
  })
})
