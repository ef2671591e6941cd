import { hash32 } from '../hash/hash32.js'
import type { ConfigurationState } from './configurationState.js'

/** Configuration status that a peer reports in its heartbeat. */
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
  // At version 0 there is no state to lose, so the log id may differ.
  return state.version === 0 && peer.version > 0
}

/**
 * Chooses a peer to fetch newer configuration from, or undefined if none is
 * ahead. `seed` spreads the requests over the peers.
 */
export function chooseCatchUpPeer(
  state: ConfigurationState,
  peers: readonly PeerConfiguration[],
  seed: number,
): string | undefined {
  const ahead = peers.filter((peer) => isAhead(state, peer))
  return ahead[hash32(`${state.nextOffset}`, seed) % ahead.length]?.id
}

/** Returns the ids of peers with the same version but a different digest. */
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
