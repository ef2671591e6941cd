import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createTargetLossRates } from '../createTargetLossRates.js'
import { wantedHolders } from '../wantedHolders.js'

const HOUR_MS = 3_600_000

const targets = (...ids: string[]) =>
  ids.map((id) => ({
    id,
    service: 's',
    host: '10.0.0.1',
    port: 1,
    slots: 4,
    draining: false,
  }))

describe('wantedHolders', () => {
  it('is two if the expected loss outweighs the copy', () => {
    const inUseMs = 10_000
    assert.equal(wantedHolders({ lossesPerMs: 1 / 60_000, inUseMs }), 2)
    assert.equal(wantedHolders({ lossesPerMs: 1 / 600_000, inUseMs }), 1)
  })
})

describe('createTargetLossRates', () => {
  it('counts targets that left per target and time', () => {
    const rates = createTargetLossRates()
    const before = targets('a', 'b', 'c', 'd')
    rates.observe('s', before, 0)
    rates.observe('s', before, 5_000)
    rates.observe('s', targets('a', 'b', 'c', 'e'), 10_000)
    assert.equal(rates.lossesPerMs('s'), 1.5 / 40_000)
    assert.equal(rates.lossesPerMs('other'), 0)
  })

  it('forgets old losses', () => {
    const rates = createTargetLossRates()
    const stable = targets('a', 'b', 'd')
    rates.observe('s', targets('a', 'b', 'c'), 0)
    rates.observe('s', stable, 1_000)
    for (let hour = 1; hour <= 100; hour += 1)
      rates.observe('s', stable, hour * HOUR_MS)
    assert.ok(rates.lossesPerMs('s') * HOUR_MS < 0.1)
  })
})
