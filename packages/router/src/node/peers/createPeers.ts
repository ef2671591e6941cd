import * as constants from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterDirectory } from '../routerPorts.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { CacheLocations } from '../routing/createCacheLocations.js'
import type { RouterSettings } from '../settings/settingsSchema.js'
import { createDigestSocket } from './createDigestSocket.js'
import { createPendingUpdates } from './createPendingUpdates.js'
import { createPeerStateServer } from './createPeerStateServer.js'
import { createPeerTable, type Peer } from './createPeerTable.js'
import { createStateBorrower } from './createStateBorrower.js'
import { joinDirectory } from './joinDirectory.js'
import type { PeerDigest } from './peerDigest.js'
import { decodeCacheLocations, decodeLoad, encodeLoad } from './digestLoad.js'
import { isCovered, type ReadingAge } from './readerDuty.js'
import type { RouterState } from './routerState.js'

/** What the part for peers works with. */
export interface PeersOptions {
  readonly settings: RouterSettings
  /** The bounds as they are now. */
  readonly bounds: () => RouterSettings['bounds']
  readonly incarnation: string
  readonly state: RouterState
  readonly load: FleetLoad
  readonly cacheLocations: CacheLocations
  readonly directory: RouterDirectory
  readonly isStopping: () => boolean
  readonly log: DecisionLog
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Tells peers of this router and hears of them. */
export interface Peers {
  /** Routers in the fleet, this one included; a guess on the safe side while alone. */
  routerCount(): number
  /** Whether peers read configurations for this router. */
  hasFreshConfigurationReader(): boolean
  /** Whether peers read the list of targets for this router. */
  hasFreshTargetReader(): boolean
  /** Last time at which no peer had read the list of targets lately, in milliseconds. */
  lastFleetOutageAtMs(): number
  /** Tells every peer at once. */
  broadcast(): void
  /** Tells every peer within some milliseconds, once for many calls. */
  scheduleBroadcast(): void
  close(): void
}

function finiteOrNull(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value) : null
}

/** Starts exchanging digests; rejects when the address is in use. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const {
    settings,
    state: knowledge,
    load,
    cacheLocations: placements,
    log,
    now,
  } = options
  const { id: router } = settings.router
  let sequence = 0
  let unreadAtMs = now()
  const table = createPeerTable({
    lostMs: constants.PEER_TIMEOUT_MS,
    probeMs: constants.PEER_PROBE_INTERVAL_MS,
    forgetMs: constants.PEER_EXPIRY_MS,
  })
  const borrower = createStateBorrower({
    knowledge,
    onPlacements: (borrowed) => {
      placements.merge(borrowed)
    },
    log,
    now,
  })

  const news = createPendingUpdates(() => placements.takeUpdates())

  /** Digests until every peer has got one. */
  const tellings = (): number =>
    Math.ceil(table.live(now()).length / constants.DIGEST_FANOUT)

  function digest(): PeerDigest {
    sequence += 1
    return {
      router,
      incarnation: options.incarnation,
      sequence,
      port: server.address.port,
      configurationVersion: knowledge.configurationVersion(),
      configurationReadMs: finiteOrNull(knowledge.configurationPollAgeMs()),
      targetsFingerprint: knowledge.targetsFingerprint(),
      targetsReadMs: finiteOrNull(knowledge.targetsPollAgeMs()),
      targetsAgeMs: finiteOrNull(knowledge.targetsAgeMs()),
      stopping: options.isStopping(),
      ...encodeLoad(knowledge.targetIds(), load.own(), news.next(tellings())),
    }
  }

  /** Takes in counts and placements, which name targets by their place in a list. */
  function takeWork(heard: PeerDigest): void {
    if (heard.targetsFingerprint !== knowledge.targetsFingerprint()) return
    const ids = knowledge.targetIds()
    load.updatePeer(heard.router, decodeLoad(ids, heard), now())
    placements.merge(decodeCacheLocations(ids, heard))
  }

  function onDigest(heard: PeerDigest, host: string): void {
    if (heard.router === router) return
    const wasLive = table.find(heard.router, now()) !== undefined
    if (!table.heard(heard, host, now())) return
    if (!wasLive) log.write(LogEvent.PeerFound, { peer: heard.router })
    takeWork(heard)
    const peer = table.find(heard.router, now())
    if (peer) borrower.heard(peer)
  }

  const server = await createPeerStateServer(
    settings.listen.peers,
    ({ knownVersion, targetsFingerprint, wantsPlacements }) => {
      const configuration = knowledge.configurationSince(knownVersion)
      const hasTargets = targetsFingerprint === knowledge.targetsFingerprint()
      return {
        ...(configuration && { configuration }),
        ...(!hasTargets && { targets: knowledge.targets() }),
        targetsAgeMs: finiteOrNull(knowledge.targetsAgeMs()),
        ...(wantsPlacements && { placements: placements.all() }),
      }
    },
  )
  // Datagrams come to the same port.
  const { address } = server
  const socket = await createDigestSocket(address, onDigest, (error) => {
    log.write(LogEvent.PeerFailed, { reason: error.message })
  })

  function readingAge(peer: Peer): number {
    return (peer.digest?.targetsReadMs ?? Infinity) + now() - peer.heardAtMs
  }

  /** Age of a peer's reading up to which this router need not read. */
  function readerAgeMs(): number {
    const { configurationMs, drainMs } = options.bounds()
    const boundMs = Math.min(configurationMs, drainMs)
    return boundMs / constants.READER_AGE_DIVISOR
  }

  function peersRead(ageOf: ReadingAge): boolean {
    const live = table.live(now())
    return isCovered(router, live, ageOf, readerAgeMs(), now())
  }

  const peersReadTargets = (): boolean =>
    peersRead((last) => last.targetsReadMs)

  /** Whether this router reads for its peers. */
  function isReader(): boolean {
    if (knowledge.targetsPollAgeMs() > readerAgeMs()) return false
    return !peersReadTargets()
  }

  function tell(): void {
    const youngest = Math.min(...table.live(now()).map(readingAge))
    if (youngest > constants.SHORT_OUTAGE_MS) unreadAtMs = now()
    // A reader's peers must hear of each reading before it is too old for them.
    const due = table.due(
      now(),
      isReader() ? Infinity : constants.DIGEST_FANOUT,
    )
    if (due.length === 0) return
    socket.send(
      digest(),
      due.map((peer) => peer.address),
    )
  }

  const telling = setInterval(() => {
    for (const { router: peer } of table.expire(now()))
      log.write(LogEvent.PeerLost, { peer })
    tell()
  }, constants.DIGEST_INTERVAL_MS)
  let soon: NodeJS.Timeout | undefined

  function tellSoon(): void {
    soon ??= setTimeout(() => {
      soon = undefined
      tell()
    }, constants.BROADCAST_DELAY_MS)
  }

  const joined = joinDirectory({
    directory: options.directory,
    router,
    address,
    onListed: (peer, peerAddress) => {
      table.listed(peer, peerAddress, now())
    },
  })

  return {
    routerCount() {
      const live = table.live(now()).length
      return live > 0 ? live + 1 : constants.DEFAULT_ROUTER_COUNT
    },
    hasFreshConfigurationReader: () =>
      peersRead((last) => last.configurationReadMs),
    hasFreshTargetReader: peersReadTargets,
    lastFleetOutageAtMs: () => unreadAtMs,
    broadcast: tell,
    scheduleBroadcast: tellSoon,
    close() {
      clearTimeout(soon)
      clearInterval(telling)
      joined.leave()
      socket.close()
      server.close()
    },
  }
}
