import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { type ClaimRecord, ClaimRecordKind } from '../claimRecord.js'
import { ClaimPhase, createClaimTable } from '../claimTable.js'
import {
  isKeyAfterHorizon,
  parseKeyTime,
  MAX_KEY_SKEW_MS,
} from '../parseKeyTime.js'

const SEED = 503

/** Reference implementation: scans all records so far, without any state. */
function findHolder(records: readonly ClaimRecord[], key: string) {
  let holder: string | undefined
  let phase: ClaimPhase | undefined
  for (const record of records) {
    if (record.key !== key) continue
    if (record.kind === ClaimRecordKind.Claim) {
      if (holder !== undefined) continue
      holder = record.claimId
      phase = ClaimPhase.Running
      continue
    }
    if (record.claimId !== holder) continue
    if (record.kind === ClaimRecordKind.Release) holder = undefined
    else
      phase =
        record.status === undefined ? ClaimPhase.Unknown : ClaimPhase.Finished
  }
  return holder === undefined ? undefined : { holder, phase }
}

const name = (prefix: string, count: number) =>
  fc.nat({ max: count - 1 }).map((index) => `${prefix}${index}`)

const recordArbitrary: fc.Arbitrary<ClaimRecord> = fc.oneof(
  fc.record({
    kind: fc.constant(ClaimRecordKind.Claim as const),
    claimId: name('claim', 8),
    key: name('key', 3),
    digest: name('digest', 2),
  }),
  fc.record({
    kind: fc.constant(ClaimRecordKind.Release as const),
    claimId: name('claim', 8),
    key: name('key', 3),
  }),
  fc.record({
    kind: fc.constant(ClaimRecordKind.Outcome as const),
    claimId: name('claim', 8),
    key: name('key', 3),
    status: fc.option(fc.constant(200), { nil: undefined }),
  }),
)

describe('createClaimTable', () => {
  it('matches a scan through the whole log', () => {
    fc.assert(
      fc.property(fc.array(recordArbitrary, { maxLength: 40 }), (records) => {
        const table = createClaimTable(1_000)
        for (const [offset, record] of records.entries()) {
          const decision = table.apply(record, offset, offset)
          const expected = findHolder(records.slice(0, offset + 1), record.key)
          const found = table.find(record.key)
          assert.equal(found?.claimId, expected?.holder)
          assert.equal(found?.phase, expected?.phase)
          if (record.kind === ClaimRecordKind.Claim)
            assert.equal(decision?.holder.claimId, expected?.holder)
        }
      }),
      { seed: SEED, numRuns: 500 },
    )
  })

  it('keeps every claim after its horizon, whatever was dropped', () => {
    fc.assert(
      fc.property(
        fc.array(name('key', 30), { minLength: 1, maxLength: 60 }),
        fc.integer({ min: 1, max: 10 }),
        fc.nat({ max: 60 }),
        (keys, maxClaims, trimAt) => {
          const table = createClaimTable(maxClaims)
          const firstAt = new Map<string, number>()
          for (const [offset, key] of keys.entries()) {
            if (!firstAt.has(key)) firstAt.set(key, offset)
            const kind = ClaimRecordKind.Claim
            const claimId = `claim${offset}`
            table.apply({ kind, claimId, key, digest: 'd' }, offset, offset)
          }
          table.trim(trimAt)
          assert.ok(table.size <= maxClaims)
          for (const [key, atMs] of firstAt)
            if (atMs > table.horizonMs) assert.ok(table.find(key))
        },
      ),
      { seed: SEED, numRuns: 500 },
    )
  })

  it('ignores records that do not match the schema', () => {
    const table = createClaimTable(10)
    assert.equal(table.apply({ kind: 'other' }, 0, 0), undefined)
    assert.equal(table.size, 0)
  })
})

describe('idempotency key time', () => {
  it('is parsed from a version 7 UUID or a leading timestamp', () => {
    const uuid = '017f22e2-79b0-7cc3-98c4-dc0c0c07398f'
    assert.equal(parseKeyTime(uuid), 1_645_557_742_000)
    assert.equal(parseKeyTime('1645557742000.sign-off-7'), 1_645_557_742_000)
    assert.equal(parseKeyTime('sign-off-7'), undefined)
    assert.equal(parseKeyTime('1645557742000.'), undefined)
  })

  it('must be after the horizon plus the clock skew', () => {
    assert.ok(isKeyAfterHorizon(1_000, -Infinity))
    assert.ok(!isKeyAfterHorizon(1_000 + MAX_KEY_SKEW_MS, 1_000))
    assert.ok(isKeyAfterHorizon(1_001 + MAX_KEY_SKEW_MS, 1_000))
  })
})
