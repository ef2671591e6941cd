import { type ConfigurationState, shouldTail } from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { LogClient } from '../logService/logClient.js'
import type { Metrics } from '../metrics/metrics.js'
import type { ConfigurationPeer } from './configurationPeer.js'
import type {
  ConfigurationTransferRequest,
  ConfigurationTransfer,
} from './configurationTransfer.js'
import { createConfigurationStore } from './createConfigurationStore.js'
import { createLogReader } from './createLogReader.js'
import { createPeerCatchUp } from './createPeerCatchUp.js'
import { createSnapshotWriter } from './createSnapshotWriter.js'

/** Follows the configuration stream and holds the current configuration. */
export interface ConfigurationTailer {
  readonly state: ConfigurationState
  /** Whether this router reads the log and the last read succeeded. */
  readonly connected: boolean
  /**
   * Applies the records that the log holds now; resolves to false when the read
   * fails.
   */
  refresh(): Promise<boolean>
  /**
   * Returns the records or the snapshot that a peer needs to catch up;
   * undefined until a log is known.
   */
  createTransfer(
    request: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined
  stop(): Promise<void>
}

/** Options for {@link createConfigurationTailer}. */
export interface ConfigurationTailerOptions {
  readonly log: LogClient
  readonly logger: ConsolaInstance
  readonly metrics: Metrics
  readonly router: { readonly id: string; readonly dataCentre: string }
  /** Retention time of the log, in milliseconds. */
  readonly retentionMs: number
  /** Live peers that report a configuration. */
  readonly peers: () => readonly ConfigurationPeer[]
  /**
   * Fetches newer state from the peer at an address; rejects when it does not
   * respond.
   */
  readonly fetch: (
    address: string,
    request: ConfigurationTransferRequest,
  ) => Promise<ConfigurationTransfer>
  /** Current time, in milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** Starts following the configuration, from the log or from peers. */
export function createConfigurationTailer(
  options: ConfigurationTailerOptions,
): ConfigurationTailer {
  const { log, logger, metrics, router, peers } = options
  const store = createConfigurationStore(logger, metrics)
  const reader = createLogReader({
    log,
    store,
    logger,
    shouldRead: () => shouldTail(router, peers()),
  })
  const followsLog = () => reader.connected
  const peerCatchUp = createPeerCatchUp({
    store,
    logger,
    metrics,
    peers,
    fetch: options.fetch,
    followsLog,
  })
  const writer = createSnapshotWriter({
    log,
    store,
    logger,
    router: router.id,
    liveRouters: () => peers().map(({ id }) => id),
    retentionMs: options.retentionMs,
    epochNow: options.epochNow,
    followsLog,
  })
  return {
    get state() {
      return store.state
    },
    get connected() {
      return reader.connected
    },
    refresh: () => reader.refresh(),
    createTransfer: (request) => store.createTransfer(request),
    stop: async () => {
      await Promise.all([reader.stop(), peerCatchUp.stop(), writer.stop()])
    },
  }
}
