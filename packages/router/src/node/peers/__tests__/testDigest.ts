import { DigestLink } from '../../dissemination/digestLink.js'
import type { PeerDigest } from '../peerDigest.js'

/** Creates a digest with defaults for the missing fields. */
export function testDigest(fields: Partial<PeerDigest> = {}): PeerDigest {
  return {
    router: 'r1',
    incarnation: 'first',
    sequence: 1,
    port: 7_000,
    configurationVersion: 4,
    configurationReadMs: 10,
    targetsFingerprint: 1,
    targetsReadMs: null,
    targetsAgeMs: 10,
    stopping: false,
    work: [1, 2, 130],
    placed: [['prompt', 1]],
    logRestores: 3,
    streams: [['v1', 7]],
    records: [['first', 1, 'crash', 'attempt', ['i-1', 'part'], 20]],
    recordsFingerprint: 5,
    targetResponseMs: null,
    link: DigestLink.Peer,
    reports: [],
    polls: [],
    ...fields,
  }
}
