import type { CacheLocations } from '../routing/createCacheLocations.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import { finiteOrNull } from './finiteOrNull.js'
import type { PeerState, PeerStateQuery } from './peerState.js'
import type { RouterState } from './routerState.js'

/** Options for {@link createPeerStateSource}. */
export interface PeerStateSourceOptions {
  readonly state: RouterState
  readonly cacheLocations: CacheLocations
  readonly streams: ResumableStreams
}

/** Returns what a peer lacks of this router's state. */
export function createPeerStateSource({
  state,
  cacheLocations,
  streams,
}: PeerStateSourceOptions): (query: PeerStateQuery) => PeerState {
  return ({ knownVersion, targetsFingerprint, wantsPlacements }) => {
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
    }
  }
}
