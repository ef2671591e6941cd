import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  AttemptProgress,
  combineVerdicts,
  verdictOfAttempt,
} from '../attemptProgress.js'
import { Verdict } from '../verdict.js'

const SEED = 501

describe('combineVerdicts', () => {
  it('returns "not run" only if no attempt can have run', () => {
    const progress = fc.constantFrom(...Object.values(AttemptProgress))
    fc.assert(
      fc.property(fc.array(progress, { minLength: 1 }), (attempts) => {
        const verdict = attempts
          .map(verdictOfAttempt)
          .reduce(combineVerdicts, Verdict.NotRun)
        const reached = attempts.some(
          (one) =>
            one === AttemptProgress.Written ||
            one === AttemptProgress.Responded,
        )
        assert.equal(verdict === Verdict.NotRun, !reached)
        const answered = attempts.includes(AttemptProgress.Responded)
        assert.equal(verdict === Verdict.Ran, answered)
      }),
      { seed: SEED },
    )
  })
})
