import type { Figure } from '../figure.js'
import {
  countPartners,
  createPeerLists,
  createRouters,
} from './fleetOfRouters.js'

/** Bytes a second that all control traffic of a node may take. */
const CONTROL_BOUND = 27_000
const LEAVING_TARGETS = 16

const digest = {
  configurationVersion: 1_000_000,
  configuration: {
    digest: '0123456789abcdef',
    nextOffset: 1_200_000,
    logId: '00000000-0000-4000-8000-000000000000',
    readsLog: false,
  },
  leaving: Object.fromEntries(
    Array.from({ length: LEAVING_TARGETS }, (_, index) => [
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
  const degrees = countPartners(peers)
  const bytes = Buffer.byteLength(JSON.stringify(digest))
  const callsPerS = (Math.max(...degrees) * 1_000) / heartbeatMs
  return {
    measure: `state.digest-bytes-${count}-nodes`,
    value: callsPerS * bytes * 2,
    unit: 'bytes a second of the busiest router, sent and received, without HTTP headers, 16 targets leaving',
    bound: CONTROL_BOUND,
    baseline: ((count - 1) * 2 * 1_000 * bytes) / heartbeatMs,
  }
}

/** Bytes of version digests and departures in heartbeats. */
export function measureDigestBytes(): Figure[] {
  return [measureSize(9, 3, 500), measureSize(2_600, 11, 1_000)]
}
