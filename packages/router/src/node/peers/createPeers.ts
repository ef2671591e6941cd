import * as constants from '../constants.js'
import { ServerKind } from '../connections/connectionBoundsOf.js'
import { createServerLimits } from '../connections/createServerLimits.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterDirectory } from '../routerPorts.js'
import type { RouterMetrics } from '../metrics/routerMetrics.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { OutagePeers } from '../sources/outageRetryMs.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { Reachability } from '../health/createReachability.js'
import type { CacheLocations } from '../routing/createCacheLocations.js'
import type { RouterSettings } from '../settings/settingsSchema.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import { createDigestExchange } from '../dissemination/createDigestExchange.js'
import { createPollers, PolledSource } from '../dissemination/createPollers.js'
import { Direction } from '../dissemination/createUpdateQueue.js'
import { FleetRole } from '../membership/createTopology.js'
import { hasStatus, PeerStatus } from '../membership/peerStatus.js'
import { hasReported } from '../membership/statusOf.js'
import { createDigestSocket } from './createDigestSocket.js'
import type { FleetSize } from './createFleetSize.js'
import { createPeerStateServer } from './createPeerStateServer.js'
import { createPeerStateSource } from './createPeerStateSource.js'
import type { SharedRecords } from './createSharedRecords.js'
import type { Peer } from './createPeerTable.js'
import { createPeerStateFetcher } from './createPeerStateFetcher.js'
import { joinDirectory } from './joinDirectory.js'
import type { PeerDigest } from './peerDigest.js'
import { findPeersWithTargets } from './findPeersWithTargets.js'
import { createRouterStatus } from './createRouterStatus.js'
import type { RelayedRequestHandler } from './relayedRequest.js'
import { createReaderWatch } from './createReaderWatch.js'
import { requestPeerState } from './requestPeerState.js'
import type { RouterState } from './routerState.js'

/** Options for {@link createPeers}. */
export interface PeersOptions {
  readonly settings: RouterSettings
  /** Returns the current bounds, which a reload of the settings may change. */
  readonly bounds: () => RouterSettings['bounds']
  readonly incarnation: string
  readonly state: RouterState
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly fleetSize: FleetSize
  readonly streams: ResumableStreams
  readonly records: SharedRecords
  readonly reachability: Reachability
  /** Handles a request that a peer relays. */
  readonly onRelayed: RelayedRequestHandler
  readonly directory: RouterDirectory
  readonly logRestores: LogRestores
  readonly isStopping: () => boolean
  readonly metrics: Pick<RouterMetrics, 'watchFleet' | 'recordConnectionClosed'>
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Exchange of digests and state with the other routers of the fleet. */
export interface Peers {
  /** Whether peers poll configurations for this router. */
  hasFreshConfigurationReader(): boolean
  /** Whether peers poll the target list for this router. */
  hasFreshTargetReader(): boolean
  /** Returns what decides how often this router polls an unavailable log. */
  outagePeers(source: PolledSource): Omit<OutagePeers, 'isCovered'>
  /** Returns the routers of the directory; undefined until it is listed. */
  listedRouters(): readonly string[] | undefined
  /** Returns the peers that are neither lost nor stopping. */
  livePeers(): readonly string[]
  /** Returns the peers that are expected to run: in a large fleet a router hears of each one only after seconds. */
  expectedPeers(): readonly string[]
  /** Returns the live peers that reached a target lately and know a configuration version, or a later one. */
  peersWithTargets(configurationVersion: number): readonly Peer[]
  /** Whether a live peer has run for longer than this router needs to start. */
  hasEstablishedPeer(): boolean
  /** Returns the milliseconds after which a peer's report of load is ignored. */
  maxLoadAgeMs(): number
  /** Sends digests at once. */
  broadcast(): void
  /** Sends a digest to the routers that pass it on after a short delay; further calls until then have no effect. */
  scheduleBroadcast(): void
  close(): void
}

/** Starts to exchange digests; rejects if the address is in use. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const { settings, state, fleetSize, logRestores, log, now } = options
  const { id: router } = settings.router
  let listedRouters: string[] | undefined
  const fetcher = createPeerStateFetcher({
    ...options,
    routerState: state,
    requestState: requestPeerState,
  })
  const pollers = createPollers()

  const server = await createPeerStateServer(
    settings.listen.peers,
    createPeerStateSource(options),
    options.onRelayed,
    createServerLimits(options)(ServerKind.Peers),
  )
  // Digests are received on the same port, over UDP.
  const { address } = server
  const socket = await createDigestSocket(address, onDigest, (error) => {
    log.write(LogEvent.PeerFailed, { reason: error.message })
  })

  /** Returns the age up to which a peer's last poll is fresh, in milliseconds. */
  function maxPollAgeMs(): number {
    const { configurationMs, drainMs } = options.bounds()
    const boundMs = Math.min(configurationMs, drainMs)
    return boundMs / constants.READER_AGE_DIVISOR
  }

  const nextStatus = createRouterStatus({ ...options, router })
  const exchange = createDigestExchange({
    ...options,
    router,
    nextStatus: () => nextStatus(address.port),
    pollers,
    maxPollAgeMs,
    send: (digest, addresses) => {
      socket.send(digest, addresses)
    },
    onLost: (peer) => {
      log.write(LogEvent.PeerLost, { peer })
    },
    onRole: ({ role, parent }) => {
      log.write(LogEvent.FleetRole, { role, aggregator: parent })
    },
  })
  options.metrics.watchFleet(() => exchange.status())
  const { table } = exchange.view
  const readerWatch = createReaderWatch({
    router,
    table,
    pollers,
    maxPollAgeMs,
    now,
  })

  function onDigest(received: PeerDigest, host: string): void {
    const wasKnown = table.find(received.router, now()) !== undefined
    const wasAlone = !wasKnown && table.livePeers(now()).length === 0
    if (!exchange.receive(received, host)) return
    fleetSize.recordSeen(received.router, now())
    for (const [peer, , , , status] of received.reports)
      if (!hasStatus(status, PeerStatus.Lost)) fleetSize.recordSeen(peer, now())
    if (!wasKnown) log.write(LogEvent.PeerFound, { peer: received.router })
    if (wasAlone) fetcher.requestCacheLocations()
    if (received.logRestores !== null) logRestores.report(received.logRestores)
    const peer = table.find(received.router, now())
    if (peer) fetcher.onDigest(peer)
  }

  const ticks = setInterval(() => {
    for (const { router: peer } of table.expire(now()))
      log.write(LogEvent.PeerLost, { peer })
    exchange.tick()
  }, constants.DIGEST_INTERVAL_MS)
  let scheduled: NodeJS.Timeout | undefined

  function scheduleBroadcast(): void {
    scheduled ??= setTimeout(() => {
      scheduled = undefined
      exchange.sendNow([Direction.Up])
    }, constants.BROADCAST_DELAY_MS)
  }

  const registration = joinDirectory({
    directory: options.directory,
    logRestores,
    router,
    address,
    hasLister: () => readerWatch.earlierPeers().length > 0,
    onListed: (listed) => {
      listedRouters = [...listed.keys()]
      fleetSize.recordListed(listedRouters, now())
      for (const [peer, peerAddress] of listed)
        if (peer !== router) table.addListed(peer, peerAddress, now())
    },
  })

  return {
    hasFreshConfigurationReader: () =>
      readerWatch.hasReader(PolledSource.Configurations),
    hasFreshTargetReader: () => readerWatch.hasReader(PolledSource.Targets),
    outagePeers: (source) => ({
      hasReader: pollers.latestAgeMs(source, now()) <= maxPollAgeMs(),
      hasEarlierPeer: readerWatch.earlierPeers().length > 0,
      routers: table.livePeers(now()).length + 1,
    }),
    listedRouters: () => listedRouters,
    livePeers: () => table.livePeers(now()).map((peer) => peer.router),
    expectedPeers() {
      const isLarge = exchange.view.topology.role !== FleetRole.Mesh
      const peers = isLarge ? table.presentPeers(now()) : table.livePeers(now())
      return peers.map((peer) => peer.router)
    },
    peersWithTargets: (configurationVersion) =>
      findPeersWithTargets(table.livePeers(now()), configurationVersion, now()),
    hasEstablishedPeer: () =>
      table
        .livePeers(now())
        .some((peer) => hasReported(peer, PeerStatus.Established)),
    maxLoadAgeMs: () => exchange.maxLoadAgeMs(),
    broadcast() {
      exchange.sendNow([Direction.Up, Direction.Down])
    },
    scheduleBroadcast,
    close() {
      clearTimeout(scheduled)
      clearInterval(ticks)
      registration.leave()
      socket.close()
      server.close()
    },
  }
}
