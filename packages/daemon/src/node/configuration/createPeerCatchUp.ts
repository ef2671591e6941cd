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

/** What following the peers works with. */
export interface PeerCatchUpOptions {
  readonly store: ConfigurationStore
  readonly logger: ConsolaInstance
  readonly metrics: Metrics
  readonly peers: () => readonly ConfigurationPeer[]
  /** Fetches from the peer at an address; rejects when it does not answer. */
  readonly fetch: (
    address: string,
    since: ConfigurationTransferRequest,
  ) => Promise<ConfigurationTransfer>
  /** Whether the log itself keeps this router current. */
  readonly followsLog: () => boolean
}

/** Starts fetching from peers that are ahead. */
export function createPeerCatchUp(options: PeerCatchUpOptions): Loop {
  const { store, logger, metrics, peers } = options
  let differing = ''
  let seed = 0

  function reportDiffering(): void {
    const found = findDifferingPeers(store.state, peers()).join(', ')
    if (found !== '' && found !== differing) {
      const message = `Version ${store.state.version} has other contents on ${found}.`
      logger.error(message)
      metrics.count('configuration.differing_peers')
    }
    differing = found
  }

  function take(transfer: ConfigurationTransfer, from: number): void {
    const { logId, nextOffset, records, snapshot } = transfer
    if (records)
      store.applyPage({ logId, firstOffset: from, nextOffset, records })
    else if (snapshot !== undefined) store.applySnapshot(snapshot)
  }

  async function round(): Promise<void> {
    reportDiffering()
    const { state } = store
    if (options.followsLog() && state.version > 0 && !state.problem) return
    seed += 1
    const chosen = chooseCatchUpPeer(state, peers(), seed)
    const address = peers().find(({ id }) => id === chosen)?.address
    if (address === undefined) return
    const from = nextReadOffset(state)
    const { logId } = state
    take(await options.fetch(address, { logId, from }), from)
  }

  return createLoop(round, PEER_CATCH_UP_INTERVAL_MS, (error) => {
    logger.debug(`A peer did not answer: ${String(error)}.`)
  })
}
