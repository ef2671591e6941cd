import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRetryBudget } from '../createRetryBudget.js'

const BOUNDS = { ratio: 0.2, allowance: 54, windowS: 10 }
const WINDOW_MS = BOUNDS.windowS * 1_000

interface Step {
  readonly afterMs: number
  readonly router: number
  readonly isRequest: boolean
}

const step: fc.Arbitrary<Step> = fc.record({
  afterMs: fc.nat(200),
  router: fc.nat(2),
  isRequest: fc.boolean(),
})

function countIn(times: readonly number[], untilMs: number): number {
  return times.filter((at) => at > untilMs - WINDOW_MS && at <= untilMs).length
}

describe('createRetryBudget', () => {
  it('keeps the retries of three routers within the bound in every window', () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 200, maxLength: 900 }),
        (steps) => {
          const routers = [0, 1, 2].map(() =>
            createRetryBudget({ bounds: () => BOUNDS, routerCount: () => 3 }),
          )
          const requests: number[] = []
          const retries: number[] = []
          let nowMs = 0
          for (const { afterMs, router, isRequest } of steps) {
            nowMs += afterMs
            if (isRequest) {
              requests.push(nowMs)
              routers[router]?.recordFirstAttempt(nowMs)
            } else if (routers[router]?.tryAcquire(nowMs)) {
              retries.push(nowMs)
              const earned = Math.max(
                countIn(requests, nowMs),
                countIn(requests, nowMs - WINDOW_MS / 2),
                countIn(requests, nowMs - WINDOW_MS),
              )
              const bound = BOUNDS.ratio * earned + BOUNDS.allowance
              assert.ok(countIn(retries, nowMs) <= bound)
            }
          }
        },
      ),
      { seed: 5, numRuns: 60 },
    )
  })

  it('grants a limited number of retries without requests', () => {
    const budget = createRetryBudget({
      bounds: () => BOUNDS,
      routerCount: () => 1,
    })
    let granted = 0
    for (let i = 0; i < 200; i += 1) if (budget.tryAcquire(1_000)) granted += 1
    assert.ok(granted > 0 && granted <= BOUNDS.allowance)
  })
})
