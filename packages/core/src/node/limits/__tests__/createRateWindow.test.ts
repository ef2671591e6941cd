import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRateWindow, toRateLimit } from '../createRateWindow.js'

const pauses = fc.array(fc.nat(400), { maxLength: 200 })

describe('createRateWindow', () => {
  it('counts no fewer events than occurred, and at most a tenth of the window more', () => {
    const property = fc.property(pauses, (list) => {
      const window = createRateWindow(1_000)
      const events: number[] = []
      let nowMs = 0
      for (const pause of list) {
        nowMs += pause
        window.add(nowMs)
        events.push(nowMs)
        const since = (ms: number) => events.filter((at) => at > nowMs - ms)
        const count = window.count(nowMs)
        assert.ok(count >= since(1_000).length)
        assert.ok(count <= since(1_100 + 1).length)
      }
    })
    fc.assert(property, { seed: 54 })
  })

  it('is empty after the time that nextFreeMs returns', () => {
    const window = createRateWindow(1_000)
    window.add(1_234)
    const freeMs = window.nextFreeMs(1_300)
    assert.equal(window.count(1_300 + freeMs - 1), 1)
    assert.equal(window.count(1_300 + freeMs), 0)
  })
})

describe('toRateLimit', () => {
  it('keeps the rate with an integer count and a window of at least 1 s', () => {
    for (const rate of [0.25, 0.5, 1, 2.5, 7, 1_000.5]) {
      const { count, windowMs } = toRateLimit(rate)
      assert.ok(Number.isInteger(count))
      assert.ok(windowMs >= 1_000)
      assert.ok(Math.abs((count * 1_000) / windowMs - rate) < 1e-9)
    }
  })
})
