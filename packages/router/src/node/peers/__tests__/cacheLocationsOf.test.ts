import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { cacheLocationsOf } from '../cacheLocationsOf.js'
import { decodeDigest, encodeDigest, type PeerDigest } from '../peerDigest.js'
import { testDigest } from './testDigest.js'

const DIGEST = testDigest({
  placed: [
    ['prompt', 't1'],
    ['other', 't2'],
  ],
})

describe('cacheLocationsOf', () => {
  it('returns locations that do not depend on the target list of the receiver', () => {
    const received = decodeDigest(encodeDigest(DIGEST))
    assert.ok(received)
    assert.deepEqual(cacheLocationsOf(received), DIGEST.placed)
  })

  it('ignores the indexes of an earlier release', () => {
    const placed: PeerDigest['placed'] = [['prompt', 3]]
    assert.deepEqual(cacheLocationsOf({ ...DIGEST, placed }), [])
  })
})
