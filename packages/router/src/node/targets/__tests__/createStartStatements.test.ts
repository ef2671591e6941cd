import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { createStartStatements } from '../createStartStatements.js'
import { decodeIncarnation, targetIncarnation } from '../targetIncarnation.js'

const SAID_AT_MS = 10
const start = (startedAtMs?: number) => ({
  id: 'a',
  ...(startedAtMs !== undefined && { startedAtMs }),
})

describe('createStartStatements', () => {
  for (const [name, said, listed, expected] of [
    ['the same start', 2, 2, true],
    ['an earlier start', 2, 1, true],
    ['no start', 2, undefined, true],
    ['a later start', 2, SAID_AT_MS + 1, false],
    ['a later start before the statement', 2, SAID_AT_MS - 1, true],
    ['a start after none', undefined, SAID_AT_MS + 1, false],
    ['none after none', undefined, undefined, true],
  ] as const)
    it(`${expected ? 'keeps' : 'ends'} a statement for ${name}`, () => {
      const statements = createStartStatements<true>(10)
      statements.set(start(said), true, SAID_AT_MS)
      assert.equal(statements.find(start(listed)), expected || undefined)
    })

  it('keeps the latest start when a statement comes under an earlier entry', () => {
    const statements = createStartStatements<number>(10)
    statements.set(start(2), 1, SAID_AT_MS)
    statements.set(start(1), 5, SAID_AT_MS)
    assert.equal(statements.find(start(2)), 5)
  })
})

describe('targetIncarnation', () => {
  for (const target of [start(), start(1_700_000_000_000)])
    it(`is decoded from ${targetIncarnation(target)}`, () => {
      assert.deepEqual(
        decodeIncarnation(targetIncarnation(target), 'a'),
        target,
      )
    })
})
