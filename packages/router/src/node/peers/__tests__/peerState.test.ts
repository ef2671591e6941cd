import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RequestKind } from '../../configuration/requestKind.js'
import {
  decodePeerState,
  encodePeerState,
  type PeerState,
} from '../peerState.js'

/** Capacity of the narrowest link of an entry VM, in bytes per millisecond: 7 Mbit/s. */
const LINK_BYTES_PER_MS = 875
/** Routers that may fetch a new version from one router. */
const FETCHING_ROUTERS = 65
/** Milliseconds within which each of them needs the response. */
const RESPONSE_MS = 800

const routes = Array.from({ length: 350 }, (_, i) => ({
  name: `route-${i}`,
  host: `host-${i % 7}.example`,
  pathPrefix: `/prefix-${(i * 2_654_435_761) % 1_000_003}/`,
  kind: RequestKind.Idempotent,
  services: [{ service: `service-${i % 3}`, weight: 1 }],
  timeoutMs: 4_000,
  targetLatencyMs: 336,
  priority: i % 4,
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

describe('peerState', () => {
  it('decodes what was encoded', () => {
    assert.deepEqual(decodePeerState(encodePeerState(state)), state)
  })

  it('is small enough for 65 routers to fetch 350 routes over a narrow link in time', () => {
    const bytes = encodePeerState(state).length * FETCHING_ROUTERS
    assert.ok(bytes <= LINK_BYTES_PER_MS * RESPONSE_MS, `${bytes} bytes`)
  })

  it('rejects a truncated response and one of another format', () => {
    const truncated = encodePeerState(state).subarray(0, 100)
    assert.equal(decodePeerState(truncated), undefined)
    assert.equal(decodePeerState(Buffer.from('{}')), undefined)
  })
})
