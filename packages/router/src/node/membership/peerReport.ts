import type { PeerAddress } from '../peers/peerAddress.js'
import { hasStatus, PeerStatus } from './peerStatus.js'

/** What another router reported of a peer. */
export interface PeerReport {
  readonly router: string
  readonly address: PeerAddress
  /** Time of the peer's last digest on this router's monotonic clock, in milliseconds. */
  readonly heardAtMs: number
  /** Bits of {@link PeerStatus}. */
  readonly status: number
  /** Configuration version that the peer has at least; 0 if unknown. */
  readonly configurationVersion: number
}

/** A report as digests carry it. */
export type EncodedPeerReport = readonly [
  router: string,
  host: string,
  port: number,
  /** Time since the peer's last digest, in tenths of a second. */
  age: number,
  status: number,
]

const AGE_UNIT_MS = 100

/** Encodes a report; its age is valid at `nowMs`. */
export function encodePeerReport(
  { router, address, heardAtMs, status }: PeerReport,
  nowMs: number,
): EncodedPeerReport {
  const age = Math.max(0, Math.round((nowMs - heardAtMs) / AGE_UNIT_MS))
  return [router, address.host, address.port, age, status]
}

/** Decodes a report that was encoded just before `nowMs` by a router with this configuration version. */
export function decodePeerReport(
  [router, host, port, age, status]: EncodedPeerReport,
  reporterVersion: number,
  nowMs: number,
): PeerReport {
  const isCurrent = hasStatus(status, PeerStatus.CurrentConfiguration)
  return {
    router,
    address: { host, port },
    heardAtMs: nowMs - age * AGE_UNIT_MS,
    status,
    configurationVersion: isCurrent ? reporterVersion : 0,
  }
}

/** Whether a decoded value is an encoded report. */
export function isEncodedPeerReport(
  value: unknown,
): value is EncodedPeerReport {
  if (!Array.isArray(value)) return false
  const [router, host, port, age, status] = value as unknown[]
  return (
    typeof router === 'string' &&
    typeof host === 'string' &&
    typeof port === 'number' &&
    typeof age === 'number' &&
    age >= 0 &&
    typeof status === 'number'
  )
}
