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

/** Follows the configuration stream and holds the version in force. */
export interface ConfigurationTailer {
  readonly state: ConfigurationState
  /** Whether this router reads the log and the last read was answered. */
  readonly connected: boolean
  /** Reads what the log has now; returns whether it answered. */
  refresh(): Promise<boolean>
  /** Returns what a peer that is behind needs; undefined without a log. */
  createTransfer(
    since: ConfigurationTransferRequest,
  ): ConfigurationTransfer | undefined
  stop(): Promise<void>
}

/** What following the configuration works with. */
export interface ConfigurationTailerOptions {
  readonly log: LogClient
  readonly logger: ConsolaInstance
  readonly metrics: Metrics
  readonly router: { readonly id: string; readonly dataCentre: string }
  /** Milliseconds that the log keeps a record. */
  readonly retentionMs: number
  /** Live peers. */
  readonly peers: () => readonly ConfigurationPeer[]
  /** Fetches from the peer at an address; rejects when it does not answer. */
  readonly fetch: (
    address: string,
    since: ConfigurationTransferRequest,
  ) => Promise<ConfigurationTransfer>
  /** Milliseconds since the epoch. */
  readonly nowMs: () => number
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
  const follower = createPeerCatchUp({
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
    nowMs: options.nowMs,
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
    createTransfer: (since) => store.createTransfer(since),
    stop: async () => {
      await Promise.all([reader.stop(), follower.stop(), writer.stop()])
    },
  }
}
