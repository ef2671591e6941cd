import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { findHeldLease } from '../heldLease.js'
import { applyLeaseRecord, createLeaseTable } from '../leaseTable.js'

function requestLease(holder: string, requestId: string, ttlMs = 1_000) {
  return { type: 'lease', name: 'orders', holder, ttlMs, requestId }
}

describe('leases', () => {
  it('grants a lease to the first record in log order until it expires', () => {
    let table = createLeaseTable()
    const records = [
      { offset: 4, atMs: 100, value: requestLease('a', '1') },
      { offset: 5, atMs: 100, value: requestLease('b', '2') },
      { offset: 6, atMs: 900, value: requestLease('a', '3') },
      { offset: 7, atMs: 1_200, value: requestLease('b', '4') },
    ]
    for (const record of records) table = applyLeaseRecord(table, record)
    assert.equal(table.leases.get('orders')?.holder, 'a')
    assert.equal(table.leases.get('orders')?.token, 4)
    const late = { offset: 8, atMs: 1_900, value: requestLease('b', '5') }
    table = applyLeaseRecord(table, late)
    assert.equal(table.leases.get('orders')?.holder, 'b')
    assert.equal(table.leases.get('orders')?.token, 8)
  })

  it('never has two holders with valid leases, and tokens never decrease', () => {
    const step = fc.record({
      holder: fc.constantFrom('a', 'b', 'c'),
      delayMs: fc.nat(400),
      gapMs: fc.nat(700),
      ttlMs: fc.constantFrom(500, 1_000),
    })
    const property = fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      let table = createLeaseTable()
      let nowMs = 0
      let token = -1
      const spans: { holder: string; from: number; to: number }[] = []
      for (const [offset, each] of steps.entries()) {
        const { holder, ttlMs, delayMs, gapMs } = each
        const sentAtMs = nowMs
        nowMs += delayMs
        const requestId = String(offset)
        const value = requestLease(holder, requestId, ttlMs)
        table = applyLeaseRecord(table, { offset, atMs: nowMs, value })
        const sent = { name: 'orders', requestId, ttlMs, sentAtMs }
        const held = findHeldLease(table, sent)
        if (held) {
          assert.ok(held.token >= token)
          token = held.token
          spans.push({ holder, from: nowMs, to: held.validUntilMs })
        }
        nowMs += gapMs
      }
      for (const one of spans)
        for (const other of spans)
          if (one.holder !== other.holder && one.from < other.from)
            assert.ok(
              one.to <= other.from,
              'two holders have valid leases at once',
            )
    })
    fc.assert(property, { seed: 3, numRuns: 2_000 })
  })
})
