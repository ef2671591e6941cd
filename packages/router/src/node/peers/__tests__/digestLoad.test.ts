import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { NO_LOAD } from '../../routing/targetLoad.js'
import { decodeCacheLocations, decodeLoad, encodeLoad } from '../digestLoad.js'

describe('digestWork', () => {
  it('reads back counts and placements of listed targets', () => {
    const id = fc.string({ minLength: 1, maxLength: 4 })
    fc.assert(
      fc.property(
        fc.uniqueArray(id, { maxLength: 10 }),
        fc.array(fc.tuple(id, fc.nat(100), fc.nat(90))),
        fc.array(fc.tuple(fc.string(), id)),
        (ids, counted, placements) => {
          const own = new Map(
            counted.map(([target, requests, hundreds]) => [
              target,
              { requests, pendingPromptTokens: hundreds * 100 },
            ]),
          )
          const work = encodeLoad(ids, own, placements)
          const read = decodeLoad(ids, work)
          for (const listed of ids)
            assert.deepEqual(
              read.get(listed) ?? NO_LOAD,
              own.get(listed) ?? NO_LOAD,
            )
          const known = placements.filter(([, target]) => ids.includes(target))
          assert.deepEqual(decodeCacheLocations(ids, work), known)
        },
      ),
      { seed: 21 },
    )
  })

  it('takes no more room for targets without work', () => {
    const ids = Array.from({ length: 100 }, (_, place) => `target-${place}`)
    const own = new Map([
      ['target-7', { requests: 2, pendingPromptTokens: 300 }],
    ])
    assert.deepEqual(encodeLoad(ids, own, []).work, [7, 2, 3])
  })

  it('leaves out places that a shorter list does not have', () => {
    const work = encodeLoad(['a', 'b'], new Map(), [['key', 'b']])
    assert.deepEqual(decodeCacheLocations(['a'], work), [])
  })
})
