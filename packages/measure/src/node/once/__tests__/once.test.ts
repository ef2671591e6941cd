import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { runSchedules } from '../runSchedules.js'

const SCHEDULES = 150
const SEED = 504

describe('responses under generated fault schedules', () => {
  it('never contradict what the targets ran', async () => {
    const { outcomes, contradictions } = await runSchedules({
      count: SCHEDULES,
      seed: SEED,
      partition: 0,
      partitions: 1,
    })
    assert.deepEqual(contradictions, [])
    assert.ok(outcomes.some(({ verdict }) => verdict === 'not-run'))
    assert.ok(outcomes.some(({ verdict }) => verdict === 'may-have-run'))
    assert.ok(outcomes.some(({ verdict }) => verdict === 'ran'))
  })
})
