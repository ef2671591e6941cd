import * as constants from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterDirectory } from '../routerPorts.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { Reachability } from '../health/createReachability.js'
import type { CacheLocations } from '../routing/createCacheLocations.js'
import type { RouterSettings } from '../settings/settingsSchema.js'
import type { ResumableStreams } from '../streams/createResumableStreams.js'
import { decodeStreamVersions } from '../streams/streamVersion.js'
import { createDigestBuilder } from './createDigestBuilder.js'
import { createDigestSocket } from './createDigestSocket.js'
import type { FleetSize } from './createFleetSize.js'
import { createPeerStateServer } from './createPeerStateServer.js'
import { createPeerStateSource } from './createPeerStateSource.js'
import type { SharedRecords } from './createSharedRecords.js'
import { createPeerTable, type Peer } from './createPeerTable.js'
import { createPeerStateFetcher } from './createPeerStateFetcher.js'
import { joinDirectory } from './joinDirectory.js'
import type { PeerDigest } from './peerDigest.js'
import { cacheLocationsOf } from './cacheLocationsOf.js'
import { decodeLoad } from './digestLoad.js'
import { findPeersWithTargets } from './findPeersWithTargets.js'
import { hasFreshReader, type PollAge } from './hasFreshReader.js'
import type { RelayedRequestHandler } from './relayedRequest.js'
import type { RouterState } from './routerState.js'
import { decodeRecord } from './sharedRecord.js'

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
  /** Whether a live peer precedes this router in the order in which routers become readers. */
  hasEarlierPeer(): boolean
  /** Returns the routers of the directory; undefined until it is listed. */
  listedRouters(): readonly string[] | undefined
  /** Returns the peers that are neither lost nor stopping. */
  livePeers(): readonly string[]
  /** Returns the live peers that reached a target lately and know a configuration version, or a later one. */
  peersWithTargets(configurationVersion: number): readonly Peer[]
  /** Whether a live peer has run for longer than this router needs to start. */
  hasEstablishedPeer(): boolean
  /** Last time at which no peer had polled the target list within SHORT_OUTAGE_MS, in milliseconds. */
  lastFleetOutageAtMs(): number
  /** Sends a digest to the peers that are due, at once. */
  broadcast(): void
  /** Broadcasts after a short delay; further calls until then have no effect. */
  scheduleBroadcast(): void
  close(): void
}

/** Digests that a router sends within 5 s of its start, at least. */
const ESTABLISHED_DIGESTS = 25

/** Starts to exchange digests; rejects if the address is in use. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const { settings, state, load, cacheLocations, streams, records } = options
  const { logRestores, log, now } = options
  const { id: router } = settings.router
  let listedRouters: string[] | undefined
  let lastFleetOutageAtMs = now()
  const table = createPeerTable({
    timeoutMs: constants.PEER_TIMEOUT_MS,
    probeIntervalMs: constants.PEER_PROBE_INTERVAL_MS,
    expiryMs: constants.PEER_EXPIRY_MS,
  })
  const fetcher = createPeerStateFetcher({
    routerState: state,
    cacheLocations,
    streams,
    records,
    log,
    now,
  })

  const buildDigest = createDigestBuilder({ ...options, router })

  /** Returns the digests needed to reach every peer once. */
  const roundsToReachAll = (): number =>
    Math.ceil(table.livePeers(now()).length / constants.DIGEST_FANOUT)

  /** Applies load, whose indexes are valid for one target list only. */
  function applyLoad(received: PeerDigest): void {
    if (received.targetsFingerprint !== state.targetsFingerprint()) return
    const ids = state.targetIds()
    load.updatePeer(received.router, decodeLoad(ids, received), now())
  }

  function onDigest(received: PeerDigest, host: string): void {
    if (received.router === router) return
    const wasLive = table.find(received.router, now()) !== undefined
    const wasAlone = !wasLive && table.livePeers(now()).length === 0
    if (!table.update(received, host, now())) return
    options.fleetSize.recordSeen(received.router, now())
    if (!wasLive) log.write(LogEvent.PeerFound, { peer: received.router })
    if (wasAlone) fetcher.requestCacheLocations()
    cacheLocations.merge(cacheLocationsOf(received))
    if (received.logRestores !== null) logRestores.report(received.logRestores)
    streams.merge(decodeStreamVersions(received.streams))
    records.merge(received.records.map((item) => decodeRecord(item, now())))
    applyLoad(received)
    const peer = table.find(received.router, now())
    if (peer) fetcher.onDigest(peer)
  }

  const server = await createPeerStateServer(
    settings.listen.peers,
    createPeerStateSource(options),
    options.onRelayed,
  )
  // Digests are received on the same port, over UDP.
  const { address } = server
  const socket = await createDigestSocket(address, onDigest, (error) => {
    log.write(LogEvent.PeerFailed, { reason: error.message })
  })

  function pollAge(peer: Peer): number {
    return (peer.digest?.targetsReadMs ?? Infinity) + now() - peer.receivedAtMs
  }

  /** Returns the age up to which a peer's last poll is fresh, in milliseconds. */
  function maxReaderAgeMs(): number {
    const { configurationMs, drainMs } = options.bounds()
    const boundMs = Math.min(configurationMs, drainMs)
    return boundMs / constants.READER_AGE_DIVISOR
  }

  function hasReader(pollAgeOf: PollAge): boolean {
    const live = table.livePeers(now())
    return hasFreshReader(router, live, pollAgeOf, maxReaderAgeMs(), now())
  }

  const hasFreshTargetReader = (): boolean =>
    hasReader((last) => last.targetsReadMs)

  /** Whether this router polls the target list for its peers. */
  function isReader(): boolean {
    if (state.targetsPollAgeMs() > maxReaderAgeMs()) return false
    return !hasFreshTargetReader()
  }

  function broadcast(): void {
    const lastPollAgeMs = Math.min(...table.livePeers(now()).map(pollAge))
    if (lastPollAgeMs > constants.SHORT_OUTAGE_MS) lastFleetOutageAtMs = now()
    // A reader sends to all peers: each poll must reach them while it is fresh.
    const due = table.takeDue(
      now(),
      isReader() ? Infinity : constants.DIGEST_FANOUT,
    )
    if (due.length === 0) return
    socket.send(
      buildDigest(address.port, roundsToReachAll()),
      due.map((peer) => peer.address),
    )
  }

  const broadcasts = setInterval(() => {
    for (const { router: peer } of table.expire(now()))
      log.write(LogEvent.PeerLost, { peer })
    broadcast()
  }, constants.DIGEST_INTERVAL_MS)
  let scheduled: NodeJS.Timeout | undefined

  function scheduleBroadcast(): void {
    scheduled ??= setTimeout(() => {
      scheduled = undefined
      broadcast()
    }, constants.BROADCAST_DELAY_MS)
  }

  const registration = joinDirectory({
    directory: options.directory,
    logRestores,
    router,
    address,
    onListed: (listed) => {
      listedRouters = [...listed.keys()]
      options.fleetSize.recordListed(listedRouters, now())
      for (const [peer, peerAddress] of listed)
        if (peer !== router) table.addListed(peer, peerAddress, now())
    },
  })

  return {
    hasFreshConfigurationReader: () =>
      hasReader((last) => last.configurationReadMs),
    hasFreshTargetReader,
    hasEarlierPeer: () =>
      table.livePeers(now()).some((peer) => peer.router < router),
    listedRouters: () => listedRouters,
    livePeers: () => table.livePeers(now()).map((peer) => peer.router),
    peersWithTargets: (configurationVersion) =>
      findPeersWithTargets(table.livePeers(now()), configurationVersion, now()),
    hasEstablishedPeer: () =>
      table
        .livePeers(now())
        .some((peer) => (peer.digest?.sequence ?? 0) > ESTABLISHED_DIGESTS),
    lastFleetOutageAtMs: () => lastFleetOutageAtMs,
    broadcast,
    scheduleBroadcast,
    close() {
      clearTimeout(scheduled)
      clearInterval(broadcasts)
      registration.leave()
      socket.close()
      server.close()
    },
  }
}
