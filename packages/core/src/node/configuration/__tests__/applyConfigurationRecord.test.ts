import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { applyConfigurationRecord } from '../applyConfigurationRecord.js'
import { createConfigurationState } from '../configurationState.js'
import { PatchOutcomeKind } from '../patchOutcome.js'

function patch(patchId: string, baseVersion: number, rank = 1) {
  return {
    type: 'patch',
    schema: 1,
    patchId,
    baseVersion,
    author: 'test',
    operations: [{ op: 'replace', path: '/defaultRank', value: rank }],
  }
}

function replay(records: readonly unknown[]) {
  let state = createConfigurationState()
  const outcomes: (PatchOutcomeKind | undefined)[] = []
  for (const [offset, record] of records.entries()) {
    const result = applyConfigurationRecord(state, record, offset)
    state = result.state
    outcomes.push(result.outcome?.kind)
  }
  return { state, outcomes }
}

describe('applyConfigurationRecord', () => {
  it('applies the first of two patches with the same base version', () => {
    const { outcomes } = replay([patch('a', 0), patch('b', 0)])
    assert.deepEqual(outcomes, [
      PatchOutcomeKind.Applied,
      PatchOutcomeKind.Conflict,
    ])
  })

  it('applies a patch id only once', () => {
    const { state, outcomes } = replay([patch('a', 0), patch('a', 1)])
    assert.equal(state.version, 1)
    assert.equal(outcomes[1], PatchOutcomeKind.Duplicate)
  })

  it('rejects a patch that breaks the schema and keeps the version', () => {
    const { state, outcomes } = replay([patch('a', 0, 99)])
    assert.equal(state.version, 0)
    assert.equal(outcomes[0], PatchOutcomeKind.Invalid)
  })

  const unsafeOperations = [
    { op: 'add', path: '/defaultRank/x', value: 1 },
    { op: 'add', path: 'no-slash', value: 1 },
    { op: 'move', path: '/customers/a' },
    { op: 'add', path: '/__proto__/x', value: 1 },
    { op: 'add', path: '/customers/__proto__', value: { weight: 1 } },
    { op: 'copy', from: '/customers/constructor', path: '/customers/a' },
  ]
  for (const operation of unsafeOperations) {
    it(`rejects ${JSON.stringify(operation)} without throwing`, () => {
      const record = { ...patch('a', 0), operations: [operation] }
      const { state, outcomes } = replay([record, patch('b', 0)])
      assert.equal(outcomes[0], PatchOutcomeKind.Invalid)
      assert.equal(outcomes[1], PatchOutcomeKind.Applied)
      assert.equal(state.version, 1)
    })
  }

  it('never lowers the version, whatever records the log contains', () => {
    const record = fc.oneof(
      fc.anything(),
      fc
        .tuple(
          fc.constantFrom('a', 'b', 'c', 'd'),
          fc.nat(3),
          fc.integer({ min: -1, max: 10 }),
        )
        .map((fields) => patch(...fields)),
      fc
        .tuple(fc.string(), fc.anything(), fc.string())
        .map(([path, value, from]) => ({
          ...patch('e', 0),
          operations: [
            { op: 'add', path: `/defaultRank/${path}`, value, from },
          ],
        })),
    )
    const property = fc.property(fc.array(record), (records) => {
      let state = createConfigurationState()
      for (const [offset, value] of records.entries()) {
        const next = applyConfigurationRecord(state, value, offset).state
        assert.ok(next.version >= state.version)
        assert.equal(next.nextOffset, offset + 1)
        state = next
      }
    })
    fc.assert(property, { seed: 1 })
  })
})
