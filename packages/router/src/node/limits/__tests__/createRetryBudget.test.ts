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

enum StepEvent {
  Request = 'request',
  Retry = 'retry',
  Restart = 'restart',
}

/** Events of a router that restarts once in ten steps and retries more often than it may. */
const EVENTS = [
  StepEvent.Restart,
  ...Array<StepEvent>(2).fill(StepEvent.Request),
  ...Array<StepEvent>(7).fill(StepEvent.Retry),
]

const step: fc.Arbitrary<Step> = fc.record({
  afterMs: fc.nat(200),
  router: fc.nat(2),
  isRequest: fc.boolean(),
})

function countIn(times: readonly number[], untilMs: number): number {
  return times.filter((at) => at > untilMs - WINDOW_MS && at <= untilMs).length
}

/** Returns the retries allowed in the window that ends at `untilMs`. */
function boundAt(requests: readonly number[], untilMs: number): number {
  const earned = Math.max(
    countIn(requests, untilMs),
    countIn(requests, untilMs - WINDOW_MS / 2),
    countIn(requests, untilMs - WINDOW_MS),
  )
  return BOUNDS.ratio * earned + BOUNDS.allowance
}

describe('createRetryBudget', () => {
  it('keeps the retries of three routers within the bound in every window', () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 200, maxLength: 900 }),
        (steps) => {
          const routers = [0, 1, 2].map(() =>
            createRetryBudget({
              bounds: () => BOUNDS,
              routerCount: () => 3,
              startedAtMs: -WINDOW_MS,
            }),
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
              assert.ok(countIn(retries, nowMs) <= boundAt(requests, nowMs))
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
      startedAtMs: 1_000 - WINDOW_MS,
    })
    let granted = 0
    for (let i = 0; i < 200; i += 1) if (budget.tryAcquire(1_000)) granted += 1
    assert.ok(granted > 0 && granted <= BOUNDS.allowance)
  })

  it('keeps the retries within the bound in every window although routers restart and forget', () => {
    const restartingStep = fc.record({
      afterMs: fc.nat(200),
      router: fc.nat(2),
      event: fc.constantFrom(...EVENTS),
    })
    fc.assert(
      fc.property(
        fc.array(restartingStep, { minLength: 300, maxLength: 900 }),
        (steps) => {
          const start = (startedAtMs: number) =>
            createRetryBudget({
              bounds: () => BOUNDS,
              routerCount: () => 3,
              startedAtMs,
            })
          const routers = [0, 1, 2].map(() => start(-WINDOW_MS))
          const requests: number[] = []
          const retries: number[] = []
          let nowMs = 0
          for (const { afterMs, router, event } of steps) {
            nowMs += afterMs
            if (event === StepEvent.Restart) routers[router] = start(nowMs)
            else if (event === StepEvent.Request) {
              requests.push(nowMs)
              routers[router]?.recordFirstAttempt(nowMs)
            } else if (routers[router]?.tryAcquire(nowMs)) {
              retries.push(nowMs)
              assert.ok(countIn(retries, nowMs) <= boundAt(requests, nowMs))
            }
          }
        },
      ),
      { seed: 7, numRuns: 60 },
    )
  })

  it('grants no allowance while the number of routers is unknown, and what requests earn all the same', () => {
    const budget = createRetryBudget({
      bounds: () => BOUNDS,
      routerCount: () => undefined,
      startedAtMs: -WINDOW_MS,
    })
    assert.equal(budget.tryAcquire(0), false)
    for (let i = 0; i < 10; i += 1) budget.recordFirstAttempt(0)
    assert.equal(budget.tryAcquire(0), true)
    assert.equal(budget.tryAcquire(0), false)
  })
})
