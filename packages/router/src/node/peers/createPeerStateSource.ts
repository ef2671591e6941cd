import type { CacheLocations } from '../routing/createCacheLocations.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import type { SharedRecords } from './createSharedRecords.js'
import { finiteOrNull } from './finiteOrNull.js'
import type { PeerState, PeerStateQuery } from './peerState.js'
import type { RouterState } from './routerState.js'
import { encodeRecord } from './sharedRecord.js'

/** Options for {@link createPeerStateSource}. */
export interface PeerStateSourceOptions {
  readonly state: RouterState
  readonly cacheLocations: CacheLocations
  readonly streams: ResumableStreams
  readonly records: SharedRecords
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Returns what a peer lacks of this router's state. */
export function createPeerStateSource({
  state,
  cacheLocations,
  streams,
  records,
  now,
}: PeerStateSourceOptions): (query: PeerStateQuery) => PeerState {
  return (query) => {
    const { knownVersion, targetsFingerprint, wantsPlacements } = query
    const configuration = state.configurationSince(knownVersion)
    const hasTargets = targetsFingerprint === state.targetsFingerprint()
    return {
      ...(configuration && { configuration }),
      ...(!hasTargets && { targets: state.targets() }),
      targetsAgeMs: finiteOrNull(state.targetsAgeMs()),
      ...(wantsPlacements && {
        placements: cacheLocations.all(),
        resumableStreams: streams.state(),
      }),
      ...(query.wantsRecords && {
        records: records.all().map((record) => encodeRecord(record, now())),
      }),
    }
  }
}
