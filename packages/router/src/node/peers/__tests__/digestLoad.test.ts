import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { NO_LOAD } from '../../routing/targetLoad.js'
import { decodeLoad, encodeLoad } from '../digestLoad.js'

describe('digestLoad', () => {
  it('decodes the load of listed targets', () => {
    const id = fc.string({ minLength: 1, maxLength: 4 })
    fc.assert(
      fc.property(
        fc.uniqueArray(id, { maxLength: 10 }),
        fc.array(fc.tuple(id, fc.nat(100), fc.nat(90))),
        (ids, counts) => {
          const own = new Map(
            counts.map(([target, requests, hundreds]) => [
              target,
              { requests, pendingPromptTokens: hundreds * 100 },
            ]),
          )
          const decoded = decodeLoad(ids, encodeLoad(ids, own))
          for (const listed of ids)
            assert.deepEqual(
              decoded.get(listed) ?? NO_LOAD,
              own.get(listed) ?? NO_LOAD,
            )
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
    assert.deepEqual(encodeLoad(ids, own).work, [7, 2, 3])
  })

  it('ignores indexes beyond the end of a shorter list', () => {
    const load = new Map([['b', { requests: 1, pendingPromptTokens: 0 }]])
    assert.equal(decodeLoad(['a'], encodeLoad(['a', 'b'], load)).size, 0)
  })
})
