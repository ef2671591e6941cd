import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { startingRetryAfterS } from '../startingRetryAfterS.js'

/** Returns the share of callers that are served when they return once. */
function servedShare(refusedAtMs: number, outageMs: number): number {
  const callers = Array.from({ length: 200 }, (_, i) => `attempt-${i}`)
  const served = callers.filter((attemptId) => {
    const retryAfterS = startingRetryAfterS(refusedAtMs, attemptId)
    return refusedAtMs + retryAfterS * 1_000 >= outageMs
  })
  return served.length / callers.length
}

describe('startingRetryAfterS', () => {
  it('lets callers return after the end of an outage of known length', () => {
    assert.equal(servedShare(500, 1_500), 1)
    assert.equal(servedShare(2_000, 4_000), 1)
    assert.equal(servedShare(3_000, 4_000), 1)
  })

  it('spreads the return of callers', () => {
    const seen = new Set<number>()
    for (let i = 0; i < 100; i += 1)
      seen.add(startingRetryAfterS(2_000, `attempt-${i}`))
    assert.ok(seen.size > 90)
    assert.ok([...seen].every((seconds) => seconds >= 2 && seconds <= 3))
  })

  it('is short while the source is being read', () => {
    assert.equal(startingRetryAfterS(0, 'attempt'), 0.2)
  })
})
