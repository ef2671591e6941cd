import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStallDetector } from '../createStallDetector.js'

describe('createStallDetector', () => {
  it('reports a target with requests in flight that sends nothing', () => {
    const detector = createStallDetector(1_000)
    detector.recordSent('t', 0)
    detector.recordSent('t', 900)
    assert.equal(detector.isStalled('t', 1_000), false)
    assert.equal(detector.isStalled('t', 1_001), true)
  })

  it('does not report a target that sends other responses', () => {
    const detector = createStallDetector(1_000)
    detector.recordSent('t', 0)
    detector.recordActivity('t', 900)
    assert.equal(detector.isStalled('t', 1_500), false)
  })

  it('does not report a target without requests in flight', () => {
    const detector = createStallDetector(1_000)
    detector.recordSent('t', 0)
    detector.recordEnd('t')
    assert.equal(detector.isStalled('t', 5_000), false)
    detector.recordSent('t', 5_000)
    assert.equal(detector.isStalled('t', 5_900), false)
  })
})
