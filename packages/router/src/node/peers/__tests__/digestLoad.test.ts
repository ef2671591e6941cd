import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { NO_LOAD } from '../../routing/targetLoad.js'
import { decodeCacheLocations, decodeLoad, encodeLoad } from '../digestLoad.js'

describe('digestLoad', () => {
  it('decodes the load and cache locations of listed targets', () => {
    const id = fc.string({ minLength: 1, maxLength: 4 })
    fc.assert(
      fc.property(
        fc.uniqueArray(id, { maxLength: 10 }),
        fc.array(fc.tuple(id, fc.nat(100), fc.nat(90))),
        fc.array(fc.tuple(fc.string(), id)),
        (ids, counts, locations) => {
          const own = new Map(
            counts.map(([target, requests, hundreds]) => [
              target,
              { requests, pendingPromptTokens: hundreds * 100 },
            ]),
          )
          const encoded = encodeLoad(ids, own, locations)
          const decoded = decodeLoad(ids, encoded)
          for (const listed of ids)
            assert.deepEqual(
              decoded.get(listed) ?? NO_LOAD,
              own.get(listed) ?? NO_LOAD,
            )
          const known = locations.filter(([, target]) => ids.includes(target))
          assert.deepEqual(decodeCacheLocations(ids, encoded), known)
        },
      ),
      { seed: 21 },
    )
  })

  it('encodes only targets with load', () => {
    const ids = Array.from({ length: 100 }, (_, i) => `target-${i}`)
    const own = new Map([
      ['target-7', { requests: 2, pendingPromptTokens: 300 }],
    ])
    assert.deepEqual(encodeLoad(ids, own, []).work, [7, 2, 3])
  })

  it('ignores indexes beyond the end of a shorter list', () => {
    const encoded = encodeLoad(['a', 'b'], new Map(), [['key', 'b']])
    assert.deepEqual(decodeCacheLocations(['a'], encoded), [])
  })
})
