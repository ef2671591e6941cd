import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { applyOperations } from '../applyOperations.js'
import { checkRebase } from '../checkRebase.js'

const names = fc.constantFrom('a', 'b', 'c', 'a/b', 'a~b')
const pointer = fc
  .array(names, { minLength: 1, maxLength: 3 })
  .map((path) =>
    path
      .map((name) => `/${name.replaceAll('~', '~0').replaceAll('/', '~1')}`)
      .join(''),
  )
const value = fc.oneof(
  fc.nat(9),
  fc.constantFrom({}, { a: 1 }, { b: { c: 2 } }),
)
const operation = fc.oneof(
  fc.record({ op: fc.constant('add'), path: pointer, value }),
  fc.record({ op: fc.constant('replace'), path: pointer, value }),
  fc.record({ op: fc.constant('remove'), path: pointer }),
  fc.record({ op: fc.constant('move'), path: pointer, from: pointer }),
  fc.record({ op: fc.constant('copy'), path: pointer, from: pointer }),
)
const patch = fc.array(operation, { minLength: 1, maxLength: 2 })
const START = {
  a: { a: { a: 1 }, b: { b: 2 }, 'a/b': {} },
  b: { c: { a: 3 } },
  'a/b': { 'a~b': { b: 4 } },
}

type Patch = readonly { op: string; path: string }[]

function applyAll(...patches: Patch[]): unknown {
  let draft: unknown = START
  for (const operations of patches) {
    const patched = applyOperations(draft, operations)
    if (patched.isErr()) return undefined
    draft = patched.value
  }
  return draft
}

describe('checkRebase', () => {
  it('allows only patches whose order makes no difference', () => {
    let allowed = 0
    const property = fc.property(patch, patch, (mine, theirs) => {
      if (applyAll(mine) === undefined || applyAll(theirs) === undefined) return
      if (!checkRebase(mine, theirs).possible) return
      allowed += 1
      assert.deepEqual(applyAll(theirs, mine), applyAll(mine, theirs))
      assert.notEqual(applyAll(theirs, mine), undefined)
    })
    fc.assert(property, { seed: 11, numRuns: 3_000 })
    assert.ok(allowed > 50, `only ${allowed} patches were allowed`)
  })

  it('returns the paths that overlap', () => {
    const mine = [
      { op: 'replace', path: '/customers/corrib/weight', value: 2 },
      { op: 'add', path: '/rules/one', value: { rank: 1 } },
    ]
    const theirs = [{ op: 'remove', path: '/customers/corrib' }]
    assert.deepEqual(checkRebase(mine, theirs), {
      possible: false,
      clashes: ['/customers/corrib/weight'],
    })
  })

  it('does not treat a longer name as a nested path', () => {
    const mine = [{ op: 'remove', path: '/customers/corrib' }]
    const theirs = [{ op: 'remove', path: '/customers/corrib-2' }]
    assert.ok(checkRebase(mine, theirs).possible)
  })
})
