import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  createSharedRecords,
  type SharedRecords,
} from '../createSharedRecords.js'
import { encodeRecord, RecordKind } from '../sharedRecord.js'

const LIFETIME_MS = 1_000

function startRecords(origin: string, now: () => number): SharedRecords {
  return createSharedRecords({
    origin,
    lifetimeMs: LIFETIME_MS,
    onUpdate: () => undefined,
    now,
  })
}

const keysOf = (records: SharedRecords): string[] =>
  records
    .all()
    .map(({ origin, key, value }) => `${origin} ${key} ${value.join()}`)
    .sort()

describe('shared records', () => {
  it('pass around a cut between two routers', () => {
    const [a, b, c] = ['a', 'b', 'c'].map((id) => startRecords(id, () => 0))
    assert.ok(a && b && c)
    a.publish(RecordKind.TargetCrash, 'k', ['i-1'], 0)
    b.merge(a.takeUpdates())
    c.merge(b.takeUpdates())
    assert.deepEqual(keysOf(c), keysOf(a))
    assert.equal(c.fingerprint(), a.fingerprint())
    assert.deepEqual(a.takeUpdates(), [])
  })

  it('are replaced by later ones of their router only', () => {
    const [a, b] = ['a', 'b'].map((id) => startRecords(id, () => 0))
    assert.ok(a && b)
    a.publish(RecordKind.TargetCrash, 'k', ['old'], 0)
    const old = a.takeUpdates()
    a.publish(RecordKind.TargetCrash, 'k', ['new'], 0)
    b.merge(a.takeUpdates())
    b.merge(old)
    assert.deepEqual(keysOf(b), ['a k new'])
    assert.equal(b.fingerprint(), a.fingerprint())
  })

  it('leave in several digests when they do not fit into a datagram', () => {
    const records = startRecords('a', () => 0)
    const value = Array.from({ length: 32 }, () => 'x'.repeat(64))
    const count = 100
    for (let i = 0; i < count; i += 1)
      records.publish(RecordKind.TargetCrash, `k${i}`, value, 0)
    let sent = 0
    for (let digest = 0; sent < count && digest < count; digest += 1) {
      const updates = records.takeUpdates()
      const encoded = updates.map((record) => encodeRecord(record, 0))
      assert.ok(JSON.stringify(encoded).length < 16 * 1024)
      sent += updates.length
    }
    assert.equal(sent, count)
  })

  it('are forgotten after their lifetime', () => {
    let nowMs = 0
    const records = startRecords('a', () => nowMs)
    const empty = records.fingerprint()
    records.publish(RecordKind.TargetCrash, 'k', [], nowMs)
    nowMs = LIFETIME_MS + 1
    assert.deepEqual(records.all(), [])
    assert.equal(records.fingerprint(), empty)
  })

  it('are the same at all routers, whatever was lost, once each has fetched all from another', () => {
    const event = fc.record({
      router: fc.nat({ max: 3 }),
      key: fc.constantFrom('k', 'l', 'm'),
      receivers: fc.subarray([0, 1, 2, 3]),
    })
    fc.assert(
      fc.property(fc.array(event, { maxLength: 30 }), (events) => {
        const routers = ['a', 'b', 'c', 'd'].map((id) =>
          startRecords(id, () => 0),
        )
        for (const { router, key, receivers } of events) {
          const from = routers[router]
          from?.publish(RecordKind.TargetCrash, key, [], 0)
          const updates = from?.takeUpdates() ?? []
          for (const receiver of receivers) routers[receiver]?.merge(updates)
        }
        for (let round = 0; round < 2; round += 1)
          for (const [i, records] of routers.entries())
            routers[(i + 1) % routers.length]?.merge(records.all())
        const [first] = routers
        for (const records of routers) {
          assert.deepEqual(keysOf(records), first && keysOf(first))
          assert.equal(records.fingerprint(), first?.fingerprint())
        }
      }),
      { seed: 27 },
    )
  })
})
