import type { ConfigurationKeeper } from '../configuration/createConfigurationKeeper.js'
import type { RouterConfiguration } from '../configuration/routerConfiguration.js'
import * as constants from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { RouterDirectory } from '../routerPorts.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { Placements } from '../routing/createPlacements.js'
import type { RouterSettings } from '../settings/settingsSchema.js'
import type { TargetView } from '../targets/createTargetView.js'
import type { Target } from '../targets/target.js'
import { createDigestSocket } from './createDigestSocket.js'
import { createPeerStateServer } from './createPeerStateServer.js'
import { createPeerTable } from './createPeerTable.js'
import { createStateBorrower } from './createStateBorrower.js'
import { joinDirectory } from './joinDirectory.js'
import type { PeerDigest } from './peerDigest.js'

/** What the part for peers works with. */
export interface PeersOptions {
  readonly settings: RouterSettings
  readonly incarnation: string
  readonly keeper: ConfigurationKeeper
  readonly view: TargetView
  readonly load: FleetLoad
  readonly placements: Placements
  readonly directory: RouterDirectory
  /** Milliseconds since this router read the list of targets itself. */
  readonly targetsAgeMs: () => number
  readonly isStopping: () => boolean
  readonly onConfiguration: (cfg: RouterConfiguration, from: string) => void
  readonly onTargets: (targets: readonly Target[]) => void
  readonly log: DecisionLog
  /** Steady clock, in milliseconds. */
  readonly now: () => number
}

/** Tells peers of this router and hears of them. */
export interface Peers {
  /** Routers in the fleet, this one included; a guess on the safe side while alone. */
  routers(): number
  /** Last time at which no peer had read the list of targets lately, in milliseconds. */
  unreadAtMs(): number
  /** Tells every peer at once. */
  tell(): void
  close(): void
}

function finiteOrNull(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value) : null
}

/** Starts exchanging digests; rejects when the address is in use. */
export async function createPeers(options: PeersOptions): Promise<Peers> {
  const { settings, keeper, view, load, placements, log, now } = options
  const listenAddress = settings.listen.peers
  const { id: router } = settings.router
  let sequence = 0
  let unreadAtMs = now()
  const table = createPeerTable({
    lostMs: constants.PEER_LOST_MS,
    probeMs: constants.PEER_PROBE_MS,
    forgetMs: constants.PEER_FORGET_MS,
  })

  function digest(): PeerDigest {
    sequence += 1
    return {
      router,
      incarnation: options.incarnation,
      sequence,
      port: server.address.port,
      configurationVersion: keeper.version,
      targetsAgeMs: finiteOrNull(options.targetsAgeMs()),
      stopping: options.isStopping(),
      inFlight: Object.fromEntries(load.own()),
      placed: placements.takeNews(),
    }
  }

  function onDigest(heard: PeerDigest, host: string): void {
    if (heard.router === router) return
    const isFirst = !table.live(now()).some((peer) => peer.router === heard.router)
    if (!table.heard(heard, host, now())) return
    if (isFirst) log.write(LogEvent.PeerFound, { peer: heard.router })
    load.heard(heard.router, new Map(Object.entries(heard.inFlight)), now())
    placements.heard(heard.placed)
    borrower.check()
  }

  const borrower = createStateBorrower({
    version: () => keeper.version,
    targetsAgeMs: options.targetsAgeMs,
    borrowAfterMs: constants.BORROW_AFTER_MS,
    peers: () => table.live(now()),
    onState: (state, from) => {
      const { configuration, targets, targetsAgeMs } = state
      placements.heard(state.placements)
      if (configuration) options.onConfiguration(configuration, from)
      const isOlder = (targetsAgeMs ?? Infinity) >= options.targetsAgeMs()
      if (!isOlder) options.onTargets(targets)
    },
    log,
  })
  const server = await createPeerStateServer(listenAddress, (knownVersion) => {
    const configuration = keeper.current?.configuration
    const isNewer = configuration && configuration.version > knownVersion
    return {
      ...(isNewer && { configuration }),
      targets: [...view.all()],
      targetsAgeMs: finiteOrNull(options.targetsAgeMs()),
      placements: placements.all(),
    }
  })
  // Datagrams come to the same port.
  const { address } = server
  const socket = await createDigestSocket(address, onDigest, (error) => {
    log.write(LogEvent.PeerFailed, { reason: error.message })
  })

  /** Age of the newest reading of the list of targets among peers. */
  function newestReadingMs(): number {
    let newestMs = Infinity
    for (const { digest: last, heardAtMs } of table.live(now())) {
      const ageMs = (last?.targetsAgeMs ?? Infinity) + now() - heardAtMs
      newestMs = Math.min(newestMs, ageMs)
    }
    return newestMs
  }

  function tell(): void {
    if (newestReadingMs() > constants.BORROW_AFTER_MS) unreadAtMs = now()
    const due = table.due(now())
    socket.send(
      digest(),
      due.map((peer) => peer.address),
    )
  }

  const telling = setInterval(() => {
    for (const { router: peer } of table.expire(now()))
      log.write(LogEvent.PeerLost, { peer })
    tell()
  }, constants.DIGEST_MS)
  const joined = joinDirectory({
    directory: options.directory,
    router,
    address,
    onListed: (peer, peerAddress) => {
      table.listed(peer, peerAddress, now())
    },
  })

  return {
    routers() {
      const live = table.live(now()).length
      return live > 0 ? live + 1 : constants.ROUTERS_WHEN_ALONE
    },
    unreadAtMs: () => unreadAtMs,
    tell,
    close() {
      clearInterval(telling)
      joined.leave()
      socket.close()
      server.close()
    },
  }
}
