import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { runSchedules } from '../runSchedules.js'

const SCHEDULES = 150
const SEED = 504

describe('what callers are told under generated faults', () => {
  it('is never contradicted by what ran', async () => {
    const { outcomes, contradictions } = await runSchedules({
      count: SCHEDULES,
      seed: SEED,
      part: 0,
      of: 1,
    })
    assert.deepEqual(contradictions, [])
    assert.ok(outcomes.some(({ verdict }) => verdict === 'not-run'))
    assert.ok(outcomes.some(({ verdict }) => verdict === 'may-have-run'))
    assert.ok(outcomes.some(({ verdict }) => verdict === 'ran'))
  })
})
