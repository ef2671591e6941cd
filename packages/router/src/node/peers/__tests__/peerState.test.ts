import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RequestKind } from '../../configuration/requestKind.js'
import {
  decodePeerState,
  encodePeerState,
  type PeerState,
} from '../peerState.js'

/** Bytes that the narrowest link of an entry VM carries in a millisecond: 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875
/** Routers that may ask one router for a new version. */
const ASKERS = 65
/** Milliseconds within which each of them needs its answer. */
const ANSWER_MS = 800

const routes = Array.from({ length: 350 }, (_, place) => ({
  name: `route-${place}`,
  host: `host-${place % 7}.example`,
  pathPrefix: `/prefix-${(place * 2_654_435_761) % 1_000_003}/`,
  kind: RequestKind.Idempotent,
  services: [{ service: `service-${place % 3}`, weight: 1 }],
  timeoutMs: 4_000,
  targetLatencyMs: 336,
  priority: place % 4,
  maxAttempts: 2,
  anonymous: false,
  cachesPrompts: false,
  resumable: false,
}))

const state: PeerState = {
  configuration: {
    version: 7,
    routes,
    services: [],
    limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
  targetsAgeMs: 40,
}

describe('the state that peers lend', () => {
  it('is read as it was written', () => {
    assert.deepEqual(decodePeerState(encodePeerState(state)), state)
  })

  it('reaches all routers in time over a narrow link, with 350 routes', () => {
    const bytes = encodePeerState(state).length * ASKERS
    assert.ok(bytes <= LINK_BYTES_PER_MS * ANSWER_MS, `${bytes} bytes`)
  })

  it('is none where an answer is torn or of another kind', () => {
    const torn = encodePeerState(state).subarray(0, 100)
    assert.equal(decodePeerState(torn), undefined)
    assert.equal(decodePeerState(Buffer.from('{}')), undefined)
  })
})
