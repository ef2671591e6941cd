import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createPauseDetector } from '../createPauseDetector.js'

describe('createPauseDetector', () => {
  function createClocks() {
    let nowMs = 0
    let epochMs = 1e12
    const detector = createPauseDetector({
      maxGapMs: 700,
      now: () => nowMs,
      epochNow: () => epochMs,
    })
    return (steadyMs: number, dayMs: number): boolean => {
      nowMs += steadyMs
      epochMs += dayMs
      return detector.check()
    }
  }

  it('takes regular checks for no pause', () => {
    const advance = createClocks()
    for (let i = 0; i < 10; i += 1) assert.equal(advance(200, 201), false)
  })

  it('notices a freeze, a suspension and a step of the time of day, once each', () => {
    const advance = createClocks()
    for (const [steadyMs, dayMs] of [
      [4_000, 4_000],
      [200, 4_200],
      [200, -2_000],
    ] as const) {
      assert.equal(advance(steadyMs, dayMs), true)
      assert.equal(advance(200, 200), false)
    }
  })
})
