import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { findSuspectTraits } from '../findSuspectTraits.js'
import { requestTrait } from '../requestTrait.js'
import type { TargetCrash } from '../targetCrash.js'

function crash(
  target: string,
  crashedAtMs: number,
  traits: readonly string[],
  sentAtMs = crashedAtMs - 100,
): TargetCrash {
  return { target, sentAtMs, crashedAtMs, traits }
}

const NEVER_ANSWERED = (): number => -Infinity

describe('findSuspectTraits', () => {
  it('counts targets that crashed one after the other', () => {
    const crashes = [
      crash('i-3', 3_000, ['a', 'bad']),
      crash('i-1', 1_000, ['a', 'bad']),
      crash('i-2', 2_000, ['b', 'bad']),
    ]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED)
    assert.equal(suspects.get('bad')?.crashes, 3)
    assert.deepEqual(suspects.get('bad')?.common, ['bad'])
    assert.equal(suspects.get('a')?.crashes, 2)
    assert.deepEqual(suspects.get('a')?.common, ['a', 'bad'])
  })

  it('counts a target once', () => {
    const crashes = [crash('i-1', 1_000, ['a']), crash('i-1', 2_000, ['a'])]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED)
    assert.equal(suspects.get('a')?.crashes, 1)
  })

  it('counts targets that crash together once', () => {
    const crashes = [
      crash('i-1', 1_000, ['a']),
      crash('i-2', 1_400, ['a'], 900),
      crash('i-3', 1_800, ['a'], 950),
    ]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED)
    assert.equal(suspects.get('a')?.crashes, 1)
  })

  /** Guards against a harmful request that comes again at several routers at once (issue 44, review/5). */
  it('counts each target that crashes under one and the same request at once', () => {
    const trait = requestTrait('fingerprint')
    const crashes = [
      crash('i-1', 1_000, ['a', trait]),
      crash('i-2', 1_010, ['a', trait], 300),
      crash('i-3', 1_020, ['a', trait], 400),
    ]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED)
    assert.equal(suspects.get(trait)?.crashes, 3)
    assert.equal(suspects.get('a')?.crashes, 1)
  })

  it('ignores crashes before a trait was answered', () => {
    const crashes = [
      crash('i-1', 1_000, ['a', 'bad']),
      crash('i-2', 3_000, ['a', 'bad']),
    ]
    const answeredAtMs = (trait: string): number =>
      trait === 'a' ? 2_000 : -Infinity
    const suspects = findSuspectTraits(crashes, answeredAtMs)
    assert.equal(suspects.get('a')?.crashes, 1)
    assert.equal(suspects.get('bad')?.crashes, 2)
  })
})
