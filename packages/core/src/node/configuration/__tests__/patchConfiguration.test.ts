import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { configurationSchema } from '../configurationSchema.js'
import type { JsonOperation } from '../jsonOperation.js'
import { patchConfiguration } from '../patchConfiguration.js'
import { patchFullConfiguration } from '../patchFullConfiguration.js'

const ids = fc.constantFrom('a', 'b', 'Bad', '__proto__', 'constructor')
const target = fc.record({
  service: fc.constantFrom('a', 'b'),
  address: fc.constantFrom('10.0.0.1:80', 'broken'),
  dataCentre: fc.constant('dc-1'),
})
const values = fc.oneof(
  target,
  fc.constantFrom<unknown>({}, [], null, 3, 'a', { kind: 'model' }),
  fc.constant(JSON.parse('{"__proto__":{"weight":1}}')),
  fc.record({ weight: fc.constantFrom(1, 2, -1) }),
)
const paths = fc.oneof(
  fc.tuple(fc.constantFrom('customers', 'targets', 'rules'), ids),
  fc.tuple(fc.constantFrom('customers', 'targets'), ids, ids),
  fc.tuple(
    fc.constantFrom('customers', 'targets'),
    ids,
    fc.constantFrom('weight', 'keys', 'toString', 'length', 'address', '-'),
  ),
  fc.constantFrom([], ['defaultRank'], ['targets'], ['unknown'], ['toString']),
)
const pointers = fc.oneof(
  { weight: 20, arbitrary: paths.map((p) => p.map((t) => `/${t}`).join('')) },
  { weight: 1, arbitrary: fc.constantFrom('targets', '/~0/~1', '/', '//') },
)
const validOperations: fc.Arbitrary<JsonOperation> =
  fc.constantFrom<JsonOperation>(
    { op: 'add', path: '/customers/b', value: {} },
    { op: 'replace', path: '/customers/a/weight', value: 2 },
    { op: 'test', path: '/customers/a/weight', value: 2 },
    { op: 'remove', path: '/customers/b' },
    { op: 'copy', from: '/customers/a', path: '/customers/c' },
    { op: 'move', from: '/customers/c', path: '/customers/b' },
    { op: 'replace', path: '/defaultRank', value: 3 },
    { op: 'replace', path: '/rules', value: { b: { rank: 1 } } },
  )
const randomOperations: fc.Arbitrary<JsonOperation> = fc.oneof(
  fc.record({
    op: fc.constantFrom('add' as const, 'replace' as const, 'test' as const),
    path: pointers,
    value: values,
  }),
  fc.record({ op: fc.constant('remove' as const), path: pointers }),
  fc.record({
    op: fc.constantFrom('move' as const, 'copy' as const),
    path: pointers,
    from: pointers,
  }),
)
const operations = fc.oneof(validOperations, randomOperations)
const patches = fc.array(fc.array(operations, { minLength: 1, maxLength: 3 }), {
  minLength: 1,
  maxLength: 12,
})

describe('patchConfiguration', () => {
  it('gives the same result as patching and validating the whole document', () => {
    let applied = 0
    const property = fc.property(patches, (list) => {
      let whole = configurationSchema.parse({
        customers: { a: {} },
        targets: { a: { service: 'a', address: 'x:1', dataCentre: 'dc-1' } },
      })
      let current = whole
      for (const patch of list) {
        const expected = patchFullConfiguration(whole, patch)
        const actual = patchConfiguration(current, patch)
        assert.equal(actual.isOk(), expected.isOk(), JSON.stringify(patch))
        if (expected.isOk()) applied += 1
        whole = expected.unwrapOr(whole)
        current = actual.unwrapOr(current)
        assert.deepEqual(current, whole)
      }
    })
    fc.assert(property, { seed: 7, numRuns: 2000 })
    assert.ok(applied > 500, `only ${applied} patches applied`)
  })

  it('does not modify its input', () => {
    const start = configurationSchema.parse({ customers: { a: {} } })
    const before = structuredClone(start)
    const patch = patchConfiguration(start, [
      { op: 'replace', path: '/customers/a/weight', value: 5 },
      { op: 'add', path: '/customers/b', value: {} },
    ])
    assert.ok(patch.isOk())
    assert.deepEqual(start, before)
  })

  it('rejects paths to a prototype', () => {
    const paths = [
      '/__proto__/polluted',
      '/customers/__proto__/polluted',
      '/customers/constructor/prototype/polluted',
      '/customers/toString/polluted',
      '/toString/polluted',
    ]
    for (const path of paths) {
      const patch = patchConfiguration(configurationSchema.parse({}), [
        { op: 'add', path, value: 1 },
      ])
      assert.ok(patch.isErr(), path)
    }
    assert.equal('polluted' in {}, false)
    assert.equal(Object.hasOwn(Object, 'polluted'), false)
    assert.equal(
      Reflect.has(Reflect.get({}, 'toString') as object, 'polluted'),
      false,
    )
  })

  it('rejects operations on which rfc6902 would throw', () => {
    const patches: JsonOperation[][] = [
      [{ op: 'add', path: 'targets', value: {} }],
      [{ op: 'move', path: '/customers/b' }],
      [
        { op: 'add', path: '/customers/a', value: [] },
        { op: 'replace', path: '/customers/a/length', value: -1 },
      ],
    ]
    for (const patch of patches) {
      const empty = configurationSchema.parse({})
      assert.ok(patchConfiguration(empty, patch).isErr())
    }
  })
})
