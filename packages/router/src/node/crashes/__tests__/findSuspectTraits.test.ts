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

const MIN_CRASHES = 3
const NEVER_ANSWERED = (): number => -Infinity

describe('findSuspectTraits', () => {
  it('counts targets that crashed one after the other', () => {
    const crashes = [
      crash('i-3', 3_000, ['a', 'bad']),
      crash('i-1', 1_000, ['a', 'bad']),
      crash('i-2', 2_000, ['b', 'bad']),
    ]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED, MIN_CRASHES)
    assert.equal(suspects.get('bad')?.crashes, 3)
    assert.deepEqual(suspects.get('bad')?.common, ['bad'])
    assert.equal(suspects.get('a')?.crashes, 2)
    assert.deepEqual(suspects.get('a')?.common, ['a', 'bad'])
  })

  it('counts a target once', () => {
    const crashes = [crash('i-1', 1_000, ['a']), crash('i-1', 2_000, ['a'])]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED, MIN_CRASHES)
    assert.equal(suspects.get('a')?.crashes, 1)
  })

  it('counts targets that crash together once', () => {
    const crashes = [
      crash('i-1', 1_000, ['a']),
      crash('i-2', 1_400, ['a'], 900),
      crash('i-3', 1_800, ['a'], 950),
    ]
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED, MIN_CRASHES)
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
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED, MIN_CRASHES)
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
    const suspects = findSuspectTraits(crashes, answeredAtMs, MIN_CRASHES)
    assert.equal(suspects.get('a')?.crashes, 1)
    assert.equal(suspects.get('bad')?.crashes, 2)
  })

  /** Guards against sound prompts that are refused since their targets also ran a harmful request (review/8). */
  it('leaves out prompt parts of requests that ran beside one that explains the crashes', () => {
    const harmful = requestTrait('harmful')
    const crashes = [1, 2, 3].flatMap((i) => [
      crash(`i-${i}`, 1_000 * i, ['b', harmful]),
      crash(`i-${i}`, 1_000 * i, ['a', requestTrait(`sound-${i}`)]),
    ])
    const suspects = findSuspectTraits(crashes, NEVER_ANSWERED, MIN_CRASHES)
    assert.equal(suspects.get(harmful)?.crashes, 3)
    assert.equal(suspects.get('a'), undefined)
    const alone = crashes.filter(({ traits }) => traits.includes('a'))
    const found = findSuspectTraits(alone, NEVER_ANSWERED, MIN_CRASHES)
    assert.equal(found.get('a')?.crashes, 3)
  })
})
