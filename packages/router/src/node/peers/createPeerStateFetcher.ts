import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { CacheLocations } from '../routing/createCacheLocations.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import type { Peer } from './createPeerTable.js'
import { createRecordsComparison } from './createRecordsComparison.js'
import type { SharedRecords } from './createSharedRecords.js'
import type { PeerAddress } from './peerAddress.js'
import type { PeerState, PeerStateQuery } from './peerState.js'
import { STATE_TIMEOUT_MS } from './requestPeerState.js'
import type { RouterState } from './routerState.js'
import { decodeRecord } from './sharedRecord.js'

/** Milliseconds between two fetches. */
const FETCH_PAUSE_MS = 100

/** Options for {@link createPeerStateFetcher}. */
export interface PeerStateFetcherOptions {
  readonly routerState: RouterState
  readonly cacheLocations: CacheLocations
  readonly streams: ResumableStreams
  readonly records: SharedRecords
  /** Requests what this router lacks of a peer's state. */
  readonly requestState: (
    address: PeerAddress,
    query: PeerStateQuery,
  ) => Promise<PeerState | undefined>
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Fetches configuration and targets from peers that have newer ones. */
export interface PeerStateFetcher {
  /** Compares a peer's new digest with this router's state and fetches newer state. */
  onDigest(peer: Peer): void
  /** Fetches cache locations and resumable streams with the next digest, as some may have been missed. */
  requestCacheLocations(): void
}

/** Returns the upper bound on the staleness of a peer's target list, in milliseconds. */
function targetsAgeOf({ digest, receivedAtMs }: Peer, nowMs: number): number {
  return (digest?.targetsAgeMs ?? Infinity) + nowMs - receivedAtMs
}

/** Creates a fetcher that fetches from one peer at a time. */
export function createPeerStateFetcher(
  options: PeerStateFetcherOptions,
): PeerStateFetcher {
  const { routerState, cacheLocations, streams, records, log, now } = options
  const recordsComparison = createRecordsComparison()
  let isFetching = false
  let pausedUntilMs = -Infinity
  let hasFetched = false
  let needsCacheLocations = true

  /** Whether records of a peer have not arrived here, or ours not there. */
  function hasMissedRecords({ router, digest }: Peer): boolean {
    const fingerprint = digest?.recordsFingerprint ?? null
    if (fingerprint === null) return false
    const own = records.fingerprint()
    return recordsComparison.hasMissed(router, fingerprint, own, now())
  }

  function hasNewer(peer: Peer): boolean {
    const { digest } = peer
    if (!digest) return false
    if (needsCacheLocations || hasMissedRecords(peer)) return true
    if (digest.configurationVersion > routerState.configurationVersion())
      return true
    const ageMs = targetsAgeOf(peer, now())
    if (ageMs >= routerState.targetsAgeMs()) return false
    if (digest.targetsFingerprint !== routerState.targetsFingerprint())
      return true
    routerState.confirmTargets(ageMs)
    return false
  }

  async function fetchState({ router, address, digest }: Peer): Promise<void> {
    const sentAtMs = now()
    const state = await options.requestState(address, {
      knownVersion: routerState.configurationVersion(),
      ...(hasFetched && {
        targetsFingerprint: routerState.targetsFingerprint(),
      }),
      wantsPlacements: needsCacheLocations,
      wantsRecords: digest?.recordsFingerprint !== records.fingerprint(),
    })
    if (!state) {
      const reason = `no valid state within ${STATE_TIMEOUT_MS} ms`
      log.write(LogEvent.PeerFailed, { router, reason })
      return
    }
    hasFetched = true
    recordsComparison.recordFetched(router)
    records.merge(
      (state.records ?? []).map((record) => decodeRecord(record, now())),
    )
    const { configuration, placements, targets, targetsAgeMs } = state
    if (state.resumableStreams) streams.applyState(state.resumableStreams)
    if (configuration) routerState.applyConfiguration(configuration, router)
    if (placements) {
      needsCacheLocations = false
      cacheLocations.merge(placements)
    }
    const ageMs = (targetsAgeMs ?? Infinity) + now() - sentAtMs
    if (ageMs >= routerState.targetsAgeMs()) return
    if (targets) routerState.applyTargets(targets, ageMs, router)
  }

  return {
    requestCacheLocations() {
      needsCacheLocations = true
    },
    onDigest(peer) {
      if (isFetching || now() < pausedUntilMs || !hasNewer(peer)) return
      isFetching = true
      void fetchState(peer).finally(() => {
        isFetching = false
        pausedUntilMs = now() + FETCH_PAUSE_MS
      })
    },
  }
}
