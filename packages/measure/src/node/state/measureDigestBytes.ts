import type { Figure } from '../figure.js'
import { countPeers, createPeerLists, createRouters } from './routerFleet.js'

/** Bytes per second that a node may spend on control traffic. */
const MAX_CONTROL_BYTES_PER_S = 27_000
const DEPARTING_TARGETS = 16

const digest = {
  configurationVersion: 1_000_000,
  configuration: {
    digest: '0123456789abcdef',
    nextOffset: 1_200_000,
    logId: '00000000-0000-4000-8000-000000000000',
    readsLog: false,
  },
  leaving: Object.fromEntries(
    Array.from({ length: DEPARTING_TARGETS }, (_, index) => [
      `engine-${9_000 + index}`,
      500,
    ]),
  ),
}

function measureSize(
  count: number,
  dataCentres: number,
  heartbeatMs: number,
): Figure {
  const peers = createPeerLists(createRouters(count, dataCentres))
  const peerCounts = countPeers(peers)
  const bytes = Buffer.byteLength(JSON.stringify(digest))
  const callsPerS = (Math.max(...peerCounts) * 1_000) / heartbeatMs
  return {
    measure: `state.digest-bytes-${count}-nodes`,
    value: callsPerS * bytes * 2,
    unit: 'bytes a second of the busiest router, sent and received, without HTTP headers, 16 targets leaving',
    bound: MAX_CONTROL_BYTES_PER_S,
    baseline: ((count - 1) * 2 * 1_000 * bytes) / heartbeatMs,
  }
}

/** Measures the bytes of version digests and departures in heartbeats. */
export function measureDigestBytes(): Figure[] {
  return [measureSize(9, 3, 500), measureSize(2_600, 11, 1_000)]
}
