import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createMeanRunTime } from '../createMeanRunTime.js'
import { queueCapacity } from '../queueCapacity.js'
import { reservedSlots } from '../reservedSlots.js'

describe('queueCapacity', () => {
  it('is the number of requests that run within the drain time', () => {
    const options = { concurrency: 100, drainMs: 2_000, maxWaiting: 1_000 }
    assert.equal(queueCapacity({ ...options, meanRunMs: 20_000 }), 10)
    assert.equal(queueCapacity({ ...options, meanRunMs: undefined }), 1_000)
  })

  it('is at least one and at most maxWaiting', () => {
    const property = fc.property(
      fc.integer({ min: 1, max: 500 }),
      fc.double({ min: 0, max: 1e7, noNaN: true }),
      fc.integer({ min: 1, max: 2_000 }),
      (concurrency, meanRunMs, maxWaiting) => {
        const drainMs = 2_000
        const capacity = queueCapacity({
          concurrency,
          meanRunMs,
          drainMs,
          maxWaiting,
        })
        assert.ok(capacity >= 1 && capacity <= maxWaiting)
      },
    )
    fc.assert(property, { seed: 43 })
  })
})

describe('createMeanRunTime', () => {
  it('starts at the first sample and follows a change', () => {
    const time = createMeanRunTime()
    const means = [time.meanMs]
    time.add(100)
    means.push(time.meanMs)
    for (let index = 0; index < 200; index += 1) time.add(500)
    means.push(Math.round(time.meanMs ?? 0))
    assert.deepEqual(means, [undefined, 100, 500])
  })
})

describe('reservedSlots', () => {
  it('reserves none of a few slots and none of unlimited slots', () => {
    assert.equal(reservedSlots(10, 0.03), 0)
    assert.equal(reservedSlots(332, 0.03), 9)
    assert.equal(reservedSlots(Infinity, 0.03), 0)
  })
})
