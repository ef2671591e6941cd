import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { Verdict } from '../../verdict/verdict.js'
import { createRetryBudget } from '../createRetryBudget.js'
import { mayRetry } from '../mayRetry.js'

const RATIO = 0.2

describe('createRetryBudget', () => {
  it('never exceeds the larger of reserve and ratio', () => {
    const property = fc.property(
      fc.array(fc.boolean(), { maxLength: 500 }),
      fc.nat(6),
      (events, reserve) => {
        const budget = createRetryBudget({ ratio: RATIO, burst: 10, reserve })
        let firstAttempts = 0
        let retries = 0
        for (const isFirstAttempt of events) {
          if (isFirstAttempt) {
            firstAttempts += 1
            budget.recordFirstAttempt()
          } else if (budget.tryAcquire()) retries += 1
          const bound = Math.max(reserve, RATIO * firstAttempts)
          assert.ok(retries <= bound + 1e-6)
        }
      },
    )
    fc.assert(property, { seed: 55, numRuns: 500 })
  })

  it('accumulates no more than the burst', () => {
    const budget = createRetryBudget({ ratio: RATIO, burst: 3, reserve: 0 })
    for (let index = 0; index < 1_000; index += 1) budget.recordFirstAttempt()
    const granted = Array.from({ length: 10 }, () => budget.tryAcquire())
    assert.equal(granted.filter(Boolean).length, 3)
  })
})

describe('mayRetry', () => {
  it('retries requests that may have run only if they are idempotent', () => {
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
