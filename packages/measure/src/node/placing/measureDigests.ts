import { DIGEST_INTERVAL_MS, DIGEST_FANOUT } from '@auburnbay/router/constants'
import { DigestLink } from '@auburnbay/router/dissemination/digestLink'
import { encodeLoad } from '@auburnbay/router/peers/digestLoad'
import { encodeDigest } from '@auburnbay/router/peers/peerDigest'
import { streamKeyOf } from '@auburnbay/router/streams/streamVersion'
import type { TargetLoad } from '@auburnbay/router/routing/targetLoad'
import type { Figure } from '../figure.js'
import { MAX_CONTROL_BYTES_PER_S } from './constants.js'

const MS_PER_S = 1_000
/** IPv4 and UDP headers of a datagram. */
const HEADER_BYTES = 28
/** Cache locations that a router adds between two digests. */
const NEW_LOCATIONS = 4

/** Streams that a router begins between two digests, while a service has several software versions. */
const NEW_STREAMS = 4

function digestBytes(targets: number): number {
  const ids = Array.from({ length: targets }, (_, i) => `i-00000000${i}`)
  const loads = new Map<string, TargetLoad>()
  for (const [i, id] of ids.entries())
    if (i % 2 === 0) loads.set(id, { requests: 3, pendingPromptTokens: 1_300 })
  const locations = ids
    .slice(0, NEW_LOCATIONS)
    .map((id, i) => [`5c1e07a${i}`, id] as const)
  const streamKeys = Array.from({ length: NEW_STREAMS }, (_, i) =>
    streamKeyOf(`attempt-${i}`),
  )
  const digest = encodeDigest({
    router: 'frontend-data-centre-1',
    incarnation: '00000000',
    sequence: 100_000,
    port: 7_340,
    configurationVersion: 10_000,
    configurationReadMs: 100,
    targetsFingerprint: 4_000_000_000,
    targetsReadMs: 100,
    targetsAgeMs: 100,
    stopping: false,
    logRestores: 1,
    ...encodeLoad(ids, loads),
    placed: [...locations],
    streams: [['v1.1', ...streamKeys]],
    records: [],
    recordsFingerprint: 4_000_000_000,
    targetResponseMs: 40,
    link: DigestLink.Peer,
    reports: [],
    polls: [],
  })
  return digest.length + HEADER_BYTES
}

function measureFleet(routers: number, targets: number): Figure {
  const fanout = Math.min(DIGEST_FANOUT, routers - 1)
  const bytes = digestBytes(targets)
  return {
    measure: `placing.digests-${routers}-routers`,
    value: (bytes * fanout * MS_PER_S) / DIGEST_INTERVAL_MS,
    unit: `bytes/s sent by each router, ${targets} targets, with headers`,
    bound: MAX_CONTROL_BYTES_PER_S,
  }
}

/** Measures the bytes of digests in fleets in which each router sends them to all others. */
export function measureDigests(): Figure[] {
  return [measureFleet(7, 16), measureFleet(9, 10)]
}
