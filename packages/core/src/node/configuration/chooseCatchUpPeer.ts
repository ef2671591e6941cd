import { hash32 } from '../hash/hash32.js'
import type { ConfigurationState } from './configurationState.js'

/** What a peer's heartbeat says of its configuration. */
export interface PeerConfiguration {
  readonly id: string
  readonly version: number
  readonly digest: string
  readonly nextOffset: number
  readonly logId?: string
}

function isAhead(state: ConfigurationState, peer: PeerConfiguration): boolean {
  if (peer.logId === undefined) return false
  if (state.logId === peer.logId) return peer.nextOffset > state.nextOffset
  // Before its first version a router has nothing that could be lost.
  return state.version === 0 && peer.version > 0
}

/** Chooses a peer to catch up from; undefined when none is ahead. */
export function chooseCatchUpPeer(
  state: ConfigurationState,
  peers: readonly PeerConfiguration[],
  seed: number,
): string | undefined {
  const ahead = peers.filter((peer) => isAhead(state, peer))
  return ahead[hash32(`${state.nextOffset}`, seed) % ahead.length]?.id
}

/** Returns the peers that hold the same version with other contents. */
export function findDifferingPeers(
  state: ConfigurationState,
  peers: readonly PeerConfiguration[],
): string[] {
  return peers
    .filter(
      ({ version, digest }) =>
        version === state.version && digest !== state.digest,
    )
    .map(({ id }) => id)
}
