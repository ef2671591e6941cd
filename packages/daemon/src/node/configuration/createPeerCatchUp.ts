import {
  chooseCatchUpPeer,
  findDifferingPeers,
  nextReadOffset,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { Metrics } from '../metrics/metrics.js'
import { createLoop, type Loop } from '../tasks/createLoop.js'
import type { ConfigurationPeer } from './configurationPeer.js'
import type {
  ConfigurationTransferRequest,
  ConfigurationTransfer,
} from './configurationTransfer.js'
import { PEER_CATCH_UP_INTERVAL_MS } from './constants.js'
import type { ConfigurationStore } from './createConfigurationStore.js'

/** Options for {@link createPeerCatchUp}. */
export interface PeerCatchUpOptions {
  readonly store: ConfigurationStore
  readonly logger: ConsolaInstance
  readonly metrics: Metrics
  readonly peers: () => readonly ConfigurationPeer[]
  /**
   * Fetches newer state from the peer at an address; rejects when it does not
   * respond.
   */
  readonly fetch: (
    address: string,
    request: ConfigurationTransferRequest,
  ) => Promise<ConfigurationTransfer>
  /** Whether this router follows the log itself. */
  readonly followsLog: () => boolean
}

/**
 * Starts fetching newer versions from peers while the log cannot be followed,
 * and reporting peers whose version has other contents.
 */
export function createPeerCatchUp(options: PeerCatchUpOptions): Loop {
  const { store, logger, metrics, peers } = options
  let reportedPeers = ''
  let seed = 0

  function reportDifferingPeers(): void {
    const found = findDifferingPeers(store.state, peers()).join(', ')
    if (found !== '' && found !== reportedPeers) {
      const message = `Version ${store.state.version} differs from the one on ${found}.`
      logger.error(message)
      metrics.count('configuration.differing_peers')
    }
    reportedPeers = found
  }

  function applyTransfer(transfer: ConfigurationTransfer, from: number): void {
    const { logId, nextOffset, records, snapshot } = transfer
    if (records)
      store.applyPage({ logId, firstOffset: from, nextOffset, records })
    else if (snapshot !== undefined) store.applySnapshot(snapshot)
  }

  async function runOnce(): Promise<void> {
    reportDifferingPeers()
    const { state } = store
    if (options.followsLog() && state.version > 0 && !state.problem) return
    seed += 1
    const chosen = chooseCatchUpPeer(state, peers(), seed)
    const address = peers().find(({ id }) => id === chosen)?.address
    if (address === undefined) return
    const from = nextReadOffset(state)
    const { logId } = state
    applyTransfer(await options.fetch(address, { logId, from }), from)
  }

  return createLoop(runOnce, PEER_CATCH_UP_INTERVAL_MS, (error) => {
    logger.debug(`Catching up from a peer failed: ${String(error)}.`)
  })
}
