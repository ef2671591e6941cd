import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { NO_WORK } from '../../routing/targetWork.js'
import { decodePlaced, decodeWork, encodeWork } from '../digestWork.js'

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
              { requests, unreadTokens: hundreds * 100 },
            ]),
          )
          const work = encodeWork(ids, own, placements)
          const read = decodeWork(ids, work)
          for (const listed of ids)
            assert.deepEqual(
              read.get(listed) ?? NO_WORK,
              own.get(listed) ?? NO_WORK,
            )
          const known = placements.filter(([, target]) => ids.includes(target))
          assert.deepEqual(decodePlaced(ids, work), known)
        },
      ),
      { seed: 21 },
    )
  })

  it('takes no more room for targets without work', () => {
    const ids = Array.from({ length: 100 }, (_, place) => `target-${place}`)
    const own = new Map([['target-7', { requests: 2, unreadTokens: 300 }]])
    assert.deepEqual(encodeWork(ids, own, []).work, [7, 2, 3])
  })

  it('leaves out places that a shorter list does not have', () => {
    const work = encodeWork(['a', 'b'], new Map(), [['key', 'b']])
    assert.deepEqual(decodePlaced(['a'], work), [])
  })
})
