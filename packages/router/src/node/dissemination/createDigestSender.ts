import { DIGEST_FANOUT } from '../constants.js'
import type { PeerView } from '../membership/createPeerView.js'
import { FleetRole } from '../membership/createTopology.js'
import type { Peer } from '../peers/createPeerTable.js'
import type { RouterStatus } from '../peers/createRouterStatus.js'
import { encodeLoad } from '../peers/digestLoad.js'
import type { PeerAddress } from '../peers/peerAddress.js'
import type { PeerDigest } from '../peers/peerDigest.js'
import type { RouterState } from '../peers/routerState.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import type { LoadByTarget } from '../routing/targetLoad.js'
import { type FleetUpdates, NO_UPDATES } from './createFleetUpdates.js'
import type { LoadLinks } from './createLoadLinks.js'
import { type EncodedPolls, type Pollers, PollSource } from './createPollers.js'
import { Direction } from './createUpdateQueue.js'
import { DigestLink } from './digestLink.js'

/** Options for {@link createDigestSender}. */
export interface DigestSenderOptions {
  readonly router: string
  readonly view: PeerView
  readonly links: LoadLinks
  readonly updates: FleetUpdates
  readonly state: Pick<RouterState, 'targetIds'>
  readonly load: FleetLoad
  readonly pollers: Pollers
  /** Returns the age up to which a poll of the log is fresh, in milliseconds. */
  readonly maxPollAgeMs: () => number
  readonly send: (digest: PeerDigest, addresses: readonly PeerAddress[]) => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Sends the digests of a router. */
export interface DigestSender {
  /** Sends a router's status to the fleet, with what the receivers lack. */
  send(status: RouterStatus, directions: readonly Direction[]): void
  /** Tells routers of the fleet that this one does not exchange digests with. */
  reply(status: RouterStatus, routers: Iterable<string>): void
  /** Looks for a lost peer, and for another aggregator if this router's is silent. */
  probe(status: RouterStatus): void
}

/** What a digest has beside the sender's status. */
interface DigestContent {
  readonly link: DigestLink
  readonly load: LoadByTarget
  readonly rest: Pick<PeerDigest, 'placed' | 'streams' | 'records' | 'reports'>
}

/** Creates a sender. */
export function createDigestSender(options: DigestSenderOptions): DigestSender {
  const { router, view, links, updates, state, load, pollers, now } = options
  const { table } = view

  /** Returns the polls to report; a small fleet hears of them from the pollers. */
  function pollsFor(link: DigestLink): EncodedPolls[] {
    if (view.topology.role === FleetRole.Mesh) return []
    const farthest =
      link === DigestLink.ToMember ? PollSource.Aggregator : PollSource.Poller
    return pollers.toReport(farthest, options.maxPollAgeMs(), now())
  }

  function sendTo(
    peers: readonly Peer[],
    status: RouterStatus,
    content: DigestContent,
  ): void {
    if (peers.length === 0) return
    for (const peer of peers) peer.sentAtMs = now()
    const { link, rest } = content
    options.send(
      {
        ...status,
        ...encodeLoad(state.targetIds(), content.load),
        ...rest,
        link,
        polls: pollsFor(link),
      },
      peers.map(({ address }) => address),
    )
  }

  const findAll = (ids: Iterable<string>): Peer[] =>
    [...ids].flatMap((id) => table.get(id) ?? [])

  /** Returns the routers that pass this one's digests on. */
  function findUplinks(): Peer[] {
    const { role, aggregators, parent } = view.topology
    if (role === FleetRole.Member)
      return findAll(parent === undefined ? [] : [parent])
    const equals = new Set([...aggregators, ...links.equals()])
    equals.delete(router)
    return findAll(equals)
  }

  function sendToMesh(status: RouterStatus): void {
    updates.clear(Direction.Down)
    const due = table.takeDue(now(), DIGEST_FANOUT)
    if (due.length === 0) return
    const rest = { ...updates.take(Direction.Up), reports: [] }
    sendTo(due, status, { link: DigestLink.Peer, load: load.own(), rest })
  }

  function sendUp(status: RouterStatus): void {
    const isMember = view.topology.role === FleetRole.Member
    sendTo(findUplinks(), status, {
      link: isMember ? DigestLink.ToAggregator : DigestLink.Peer,
      load: load.sumOf(links.members()),
      rest: { ...updates.take(Direction.Up), reports: view.memberReports() },
    })
  }

  function sendDown(status: RouterStatus): void {
    const members = findAll(links.members())
    if (members.length === 0) {
      updates.clear(Direction.Down)
      return
    }
    const rest = {
      ...updates.take(Direction.Down),
      reports: view.fleetReports(),
    }
    for (const member of members)
      sendTo([member], status, {
        link: DigestLink.ToMember,
        load: load.sumWithout(member.router),
        rest,
      })
  }

  function sendIntroduction(
    peers: readonly Peer[],
    status: RouterStatus,
    link: DigestLink,
  ): void {
    if (peers.length === 0) return
    const rest = { ...NO_UPDATES, reports: view.strangerReports() }
    sendTo(peers, status, { link, load: load.own(), rest })
  }

  return {
    send(status, directions) {
      if (view.topology.role === FleetRole.Mesh) {
        sendToMesh(status)
        return
      }
      if (directions.includes(Direction.Up)) sendUp(status)
      if (directions.includes(Direction.Down)) sendDown(status)
    },
    reply(status, routers) {
      sendIntroduction(findAll(routers), status, DigestLink.Reply)
    },
    probe(status) {
      const lost = table.takeProbe(now())
      const silent = findAll(view.takeParentProbes())
      sendIntroduction(
        lost ? [lost, ...silent] : silent,
        status,
        DigestLink.Probe,
      )
    },
  }
}
