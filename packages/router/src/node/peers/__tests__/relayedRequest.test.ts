import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  decodeRelayedRequest,
  encodeRelayedRequest,
  RELAY_HEADER,
} from '../relayedRequest.js'

const decode = (value: string) =>
  decodeRelayedRequest({ [RELAY_HEADER]: value })

describe('a relayed request', () => {
  it('keeps the software version that its stream must go on at', () => {
    fc.assert(
      fc.property(fc.nat(), fc.nat(9), fc.string(), (ms, runs, version) => {
        const relayed = {
          remainingMs: ms,
          possibleRuns: runs,
          softwareVersion: version,
        }
        const value = encodeRelayedRequest(relayed)
        assert.match(value, /^[\w,-]*$/)
        assert.deepEqual(decode(value), relayed)
      }),
    )
  })

  it('is understood by and from a router of the release before', () => {
    assert.deepEqual(decode('1500,1'), { remainingMs: 1_500, possibleRuns: 1 })
    const value = encodeRelayedRequest({
      remainingMs: 1_500.5,
      possibleRuns: 1,
      softwareVersion: 'v1',
    })
    assert.deepEqual(value.split(',').map(Number).slice(0, 2), [1_500, 1])
  })
})
