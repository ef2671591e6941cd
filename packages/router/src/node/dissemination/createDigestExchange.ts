import { DIGEST_INTERVAL_MS, MAX_LOST_DIGESTS } from '../constants.js'
import { createPeerView, type PeerView } from '../membership/createPeerView.js'
import { FleetRole, type Topology } from '../membership/createTopology.js'
import type { FleetStatus } from '../metrics/routerMetrics.js'
import type { RouterStatus } from '../peers/createRouterStatus.js'
import type { PeerAddress } from '../peers/peerAddress.js'
import type { PeerDigest } from '../peers/peerDigest.js'
import type { RouterState } from '../peers/routerState.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import { createDigestSender } from './createDigestSender.js'
import {
  createFleetUpdates,
  type FleetUpdatesOptions,
} from './createFleetUpdates.js'
import { createLoadLinks } from './createLoadLinks.js'
import { type Pollers, PollSource } from './createPollers.js'
import { Direction } from './createUpdateQueue.js'
import { DigestLink } from './digestLink.js'

/** Options for {@link createDigestExchange}. */
export interface DigestExchangeOptions extends FleetUpdatesOptions {
  readonly router: string
  /** Returns what this router says of itself in its next digest. */
  readonly nextStatus: () => RouterStatus
  readonly state: Pick<
    RouterState,
    'targetIds' | 'targetsFingerprint' | 'configurationVersion'
  >
  readonly load: FleetLoad
  readonly pollers: Pollers
  /** Returns the age up to which a poll of the log is fresh, in milliseconds. */
  readonly maxPollAgeMs: () => number
  readonly isStopping: () => boolean
  readonly send: (digest: PeerDigest, addresses: readonly PeerAddress[]) => void
  /** Called when a peer that sent its digests to this router is lost. */
  readonly onLost: (router: string) => void
  /** Called when this router's role or its aggregator has changed. */
  readonly onRole: (topology: Topology) => void
}

/** Exchange of digests with the fleet, without its sockets and timers. */
export interface DigestExchange {
  readonly view: PeerView
  /** Applies a digest; returns whether it is new. */
  receive(digest: PeerDigest, host: string): boolean
  /** Sends the digests that are due; called each DIGEST_INTERVAL_MS. */
  tick(): void
  /** Sends digests to the fleet at once, or only to those that pass them on. */
  sendNow(directions: readonly Direction[]): void
  /** Returns the milliseconds after which a report of load is ignored. */
  maxLoadAgeMs(): number
  /** Returns what this router knows of its fleet. */
  status(): FleetStatus
}

const MS_PER_S = 1_000
/** Digests to other aggregators for each one to a member. */
const DIGESTS_PER_MEMBER_DIGEST = 2
/** Intervals without a tick after which this router was paused. */
const PAUSE_INTERVALS = 3

/**
 * Creates an exchange. In a small fleet each router sends its digests to all. In a
 * larger one it sends them to an aggregator, which sums up the load of its members,
 * tells the other aggregators, and tells its members of the rest of the fleet.
 */
export function createDigestExchange(
  options: DigestExchangeOptions,
): DigestExchange {
  const { router, state, load, pollers, now } = options
  const updates = createFleetUpdates(options)
  const links = createLoadLinks({
    load,
    state,
    topology: () => view.topology,
    now,
  })
  const view: PeerView = createPeerView({
    router,
    configurationVersion: () => state.configurationVersion(),
    isStopping: options.isStopping,
    members: () => links.members(),
    onSilent: (peer) => {
      links.remove(peer)
    },
    onLost: options.onLost,
    now,
  })
  const sender = createDigestSender({ ...options, view, links, updates })
  let lastTickMs = now()
  let lastMemberDigestMs = -Infinity
  /** Routers that regard this one as an equal although it is not, to be told of the fleet. */
  const strangers = new Set<string>()

  function areMemberDigestsDue(): boolean {
    const intervals = (now() - lastMemberDigestMs) / DIGEST_INTERVAL_MS
    return Math.round(intervals) >= DIGESTS_PER_MEMBER_DIGEST
  }

  function updateView(): void {
    const { role, parent } = view.topology
    const equals = links.equals()
    view.update()
    links.removeOutdated()
    if (role !== view.topology.role || parent !== view.topology.parent)
      options.onRole(view.topology)
    // They must not count this router any more.
    if (parent !== undefined && parent !== view.topology.parent)
      strangers.add(parent)
    if (role === FleetRole.Aggregator && view.topology.role !== role)
      for (const equal of equals) strangers.add(equal)
    if (view.topology.parent !== undefined)
      strangers.delete(view.topology.parent)
  }

  /** Whether the sender of a digest needs an answer, as this router sends it none of its own. */
  function isStranger({ router: peer, link }: PeerDigest): boolean {
    if (link === DigestLink.Probe) return true
    const { role, parent } = view.topology
    const isMember = role === FleetRole.Member && peer !== parent
    return link === DigestLink.Peer && isMember
  }

  function recordPolls(digest: PeerDigest): void {
    const { configurationReadMs, targetsReadMs } = digest
    pollers.record(
      [digest.router, configurationReadMs, targetsReadMs],
      PollSource.Poller,
      now(),
    )
    const from =
      digest.link === DigestLink.ToMember
        ? PollSource.OwnAggregator
        : PollSource.Aggregator
    for (const polls of digest.polls)
      if (polls[0] !== router) pollers.record(polls, from, now())
  }

  return {
    view,
    receive(digest, host) {
      if (digest.router === router) return false
      if (!view.receive(digest, host)) return false
      recordPolls(digest)
      const isNewMember = links.receive(digest)
      const isFromMember = digest.link === DigestLink.ToAggregator
      updates.merge(
        digest,
        isFromMember ? [Direction.Up, Direction.Down] : [Direction.Down],
      )
      if (isNewMember) {
        view.welcome(digest.router)
        // It gets its first digest with the next tick.
        lastMemberDigestMs = -Infinity
      }
      if (isStranger(digest)) strangers.add(digest.router)
      return true
    },
    tick() {
      const gapMs = now() - lastTickMs
      if (gapMs > PAUSE_INTERVALS * DIGEST_INTERVAL_MS) {
        view.extend(gapMs)
        pollers.clear()
      }
      lastTickMs = now()
      updateView()
      const status = options.nextStatus()
      const isMemberDigestDue = areMemberDigestsDue()
      if (isMemberDigestDue) lastMemberDigestMs = now()
      sender.send(
        status,
        isMemberDigestDue ? [Direction.Up, Direction.Down] : [Direction.Up],
      )
      // A small fleet sends its digests to every peer anyway.
      if (view.topology.role !== FleetRole.Mesh) {
        sender.reply(status, strangers)
        sender.probe(status)
      }
      strangers.clear()
    },
    sendNow(directions) {
      sender.send(options.nextStatus(), directions)
    },
    status() {
      const livePeers = view.table.livePeers(now()).length
      return {
        livePeers,
        lostPeers: [...view.table.all()].length - livePeers,
        aggregators: view.topology.aggregators.size,
        members: links.members().length,
        loadAgeS: load.oldestReportMs(now()) / MS_PER_S,
      }
    },
    maxLoadAgeMs() {
      const intervals =
        view.topology.role === FleetRole.Mesh ? 1 : DIGESTS_PER_MEMBER_DIGEST
      return MAX_LOST_DIGESTS * DIGEST_INTERVAL_MS * intervals
    },
  }
}
