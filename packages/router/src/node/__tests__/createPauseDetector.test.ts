import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createPauseDetector } from '../createPauseDetector.js'

describe('createPauseDetector', () => {
  function createDetector() {
    let nowMs = 0
    let epochMs = 1e12
    const detector = createPauseDetector({
      maxGapMs: 700,
      now: () => nowMs,
      epochNow: () => epochMs,
    })
    return (monotonicMs: number, wallMs: number): boolean => {
      nowMs += monotonicMs
      epochMs += wallMs
      return detector.check()
    }
  }

  it('reports no pause for regular checks', () => {
    const advance = createDetector()
    for (let i = 0; i < 10; i += 1) assert.equal(advance(200, 201), false)
  })

  it('reports a freeze, a suspension and a wall clock step once each', () => {
    const advance = createDetector()
    for (const [monotonicMs, wallMs] of [
      [4_000, 4_000],
      [200, 4_200],
      [200, -2_000],
    ] as const) {
      assert.equal(advance(monotonicMs, wallMs), true)
      assert.equal(advance(200, 200), false)
    }
  })
})
