import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { Verdict } from '../../verdict/verdict.js'
import { createRetryBudget } from '../createRetryBudget.js'
import { mayRetry } from '../mayRetry.js'

const RATIO = 0.2

describe('createRetryBudget', () => {
  it('never gives more than the larger of reserve and ratio', () => {
    const property = fc.property(
      fc.array(fc.boolean(), { maxLength: 500 }),
      fc.nat(6),
      (events, reserve) => {
        const budget = createRetryBudget({ ratio: RATIO, burst: 10, reserve })
        let firstTries = 0
        let retries = 0
        for (const isFirstTry of events) {
          if (isFirstTry) {
            firstTries += 1
            budget.recordFirstAttempt()
          } else if (budget.consumeRetry()) retries += 1
          const bound = Math.max(reserve, RATIO * firstTries)
          assert.ok(retries <= bound + 1e-6)
        }
      },
    )
    fc.assert(property, { seed: 55, numRuns: 500 })
  })

  it('saves up no more than the burst', () => {
    const budget = createRetryBudget({ ratio: RATIO, burst: 3, reserve: 0 })
    for (let index = 0; index < 1_000; index += 1) budget.recordFirstAttempt()
    const given = Array.from({ length: 10 }, () => budget.consumeRetry())
    assert.equal(given.filter(Boolean).length, 3)
  })
})

describe('mayRetry', () => {
  it('repeats what may have run only if it is idempotent', () => {
    const allowed: string[] = []
    for (const verdict of Object.values(Verdict))
      for (const idempotent of [true, false])
        for (const abandoned of [true, false])
          if (mayRetry({ verdict, idempotent, abandoned }))
            allowed.push(`${verdict} ${String(idempotent)}`)
    assert.deepEqual(allowed, [
      'not-run true',
      'not-run false',
      'may-have-run true',
    ])
  })
})
