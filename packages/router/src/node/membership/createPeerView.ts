import {
  createPeerTable,
  heardAtMs,
  type PeerTable,
} from '../peers/createPeerTable.js'
import type { PeerDigest } from '../peers/peerDigest.js'
import {
  PEER_EXPIRY_MS,
  PEER_PROBE_INTERVAL_MS,
  PEER_TIMEOUT_MS,
} from '../constants.js'
import { createParentWatch, LINK_TIMEOUT_MS } from './createParentWatch.js'
import { createPeerReports } from './createPeerReports.js'
import { createRouterOrder } from './createRouterOrder.js'
import { createTopology, FleetRole, type Topology } from './createTopology.js'
import {
  decodePeerReport,
  encodePeerReport,
  type EncodedPeerReport,
} from './peerReport.js'
import { statusOf } from './statusOf.js'

/** Options for {@link createPeerView}. */
export interface PeerViewOptions {
  readonly router: string
  readonly configurationVersion: () => number
  readonly isStopping: () => boolean
  /** Returns the routers that have chosen this one as their aggregator. */
  readonly members: () => readonly string[]
  /** Called when a peer that sent its digests to this router sends none any more. */
  readonly onSilent: (router: string) => void
  /** Called when such a peer is lost, as no other router hears it either. */
  readonly onLost: (router: string) => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Who is in the fleet, and this router's place in it. */
export interface PeerView {
  readonly table: PeerTable
  readonly topology: Topology
  /** Records a digest; returns false if it is outdated. */
  receive(digest: PeerDigest, host: string): boolean
  /** Tells the other aggregators of a new member of this one, and the member of the losses that it may have missed. */
  welcome(member: string): void
  /** Returns the aggregators to ask for an answer, as the parent has sent none. */
  takeParentProbes(): string[]
  /** Finds lost peers and decides this router's place again. */
  update(): void
  /** Returns reports on the members of this router. */
  memberReports(): EncodedPeerReport[]
  /** Returns reports on the whole fleet, a few peers at a time. */
  fleetReports(): EncodedPeerReport[]
  /** Returns reports for a router that this one does not exchange digests with. */
  strangerReports(): EncodedPeerReport[]
  /** Excuses peers for a time in which this router itself was paused, in milliseconds. */
  extend(pauseMs: number): void
}

/** Members in one digest to other aggregators: all of them within a second. */
const MAX_MEMBER_REPORTS = 4
/** Peers in one digest to a member. */
const MAX_FLEET_REPORTS = 8
/** Milliseconds without a sign of life after which an aggregator counts a member of another one as lost. */
const AGGREGATOR_TIMEOUT_MS = 4_000
/** The same for a member, which hears of each peer every few seconds. */
const MEMBER_TIMEOUT_MS = 30_000
/** Milliseconds for which new members are told of a loss; all others have heard of it by then. */
const RECENT_LOSS_MS = 15_000
/** Milliseconds without any digest after which a router is alone. */
const ISOLATION_MS = 2_500

/** Whether a peer that was heard before has been silent for too long. */
function isOld(silentMs: number, timeoutMs: number): boolean {
  return silentMs > timeoutMs && silentMs < Infinity
}

/** Creates the view of a router that knows no peers. */
export function createPeerView(options: PeerViewOptions): PeerView {
  const { router, configurationVersion, onLost, now } = options
  const compareRouters = createRouterOrder()
  const decider = createTopology(router, compareRouters)
  const memberReports = createPeerReports(MAX_MEMBER_REPORTS)
  const fleetReports = createPeerReports(MAX_FLEET_REPORTS)
  const strangerReports = createPeerReports(MAX_FLEET_REPORTS)
  let lastReceivedAtMs = -Infinity
  let linkedSinceMs = new Map<string, number>()

  const table = createPeerTable({
    timeoutMs,
    probeIntervalMs: PEER_PROBE_INTERVAL_MS,
    expiryMs: PEER_EXPIRY_MS,
  })

  const parentWatch = createParentWatch({ ...options, table, decider })

  function timeoutMs(): number {
    if (now() - lastReceivedAtMs > ISOLATION_MS) return PEER_TIMEOUT_MS
    switch (decider.current.role) {
      case FleetRole.Mesh:
        return PEER_TIMEOUT_MS
      case FleetRole.Aggregator:
        return AGGREGATOR_TIMEOUT_MS
      case FleetRole.Member:
        return MEMBER_TIMEOUT_MS
    }
  }

  function prioritize(peer: string): void {
    memberReports.prioritize(peer)
    fleetReports.prioritize(peer)
  }

  /** Returns the routers that send digests to this one: members, and other aggregators. */
  function links(): string[] {
    const { role, aggregators } = decider.current
    if (role !== FleetRole.Aggregator) return [...options.members()]
    const others = [...aggregators].filter((id) => id !== router)
    return [...new Set([...others, ...options.members()])]
  }

  function loseSilentLinks(): void {
    const linked = links()
    const before = linkedSinceMs
    linkedSinceMs = new Map(linked.map((id) => [id, before.get(id) ?? now()]))
    for (const [id, sinceMs] of linkedSinceMs) {
      const peer = table.get(id)
      if (
        !peer ||
        now() - Math.max(sinceMs, peer.receivedAtMs) <= LINK_TIMEOUT_MS
      )
        continue
      // Another router may still hear it.
      if (now() - heardAtMs(peer) > LINK_TIMEOUT_MS) {
        table.markLost(id)
        prioritize(id)
        onLost(id)
      }
      linkedSinceMs.set(id, now())
      options.onSilent(id)
    }
  }

  /** Counts members of other aggregators as lost, of which their own may have died too. */
  function loseSilentMembers(): void {
    if (decider.current.role !== FleetRole.Aggregator) return
    const silent = [...table.all()].filter((peer) => {
      const silentMs = now() - heardAtMs(peer)
      return peer.isLost !== true && isOld(silentMs, AGGREGATOR_TIMEOUT_MS)
    })
    // The last change is reported first: that of a router that would be an aggregator.
    silent.sort((a, b) => compareRouters(b.router, a.router))
    for (const peer of silent) {
      table.markLost(peer.router)
      fleetReports.prioritize(peer.router)
    }
  }

  const knownRouters = (): string[] =>
    [...table.all()].map((peer) => peer.router)

  function encode(ids: readonly string[]): EncodedPeerReport[] {
    const reports: EncodedPeerReport[] = []
    for (const id of ids) {
      const peer = table.get(id)
      if (!peer || heardAtMs(peer) === -Infinity) continue
      const status = statusOf(peer, configurationVersion(), now())
      reports.push(
        encodePeerReport(
          {
            router: id,
            address: peer.address,
            heardAtMs: heardAtMs(peer),
            status,
            configurationVersion: 0,
          },
          now(),
        ),
      )
    }
    return reports
  }

  return {
    table,
    get topology() {
      return decider.current
    },
    receive(digest, host) {
      const wasPresent = table.isPresent(digest.router, now())
      if (!table.update(digest, host, now())) return false
      lastReceivedAtMs = now()
      if (!wasPresent) prioritize(digest.router)
      for (const encoded of digest.reports) {
        const report = decodePeerReport(
          encoded,
          digest.configurationVersion,
          now(),
        )
        if (report.router === router) continue
        if (table.merge(report, now())) fleetReports.prioritize(report.router)
      }
      return true
    },
    welcome(member) {
      memberReports.prioritize(member)
      for (const peer of table.all()) {
        const isRecent = now() - heardAtMs(peer) <= RECENT_LOSS_MS
        if (peer.isLost === true && isRecent)
          fleetReports.prioritize(peer.router)
      }
    },
    takeParentProbes: () => parentWatch.takeProbes(),
    update() {
      loseSilentLinks()
      loseSilentMembers()
      parentWatch.avoidSilentParent()
      parentWatch.decide()
    },
    memberReports: () => encode(memberReports.next(options.members())),
    fleetReports: () => encode(fleetReports.next(knownRouters())),
    strangerReports: () => encode(strangerReports.next(knownRouters())),
    extend(pauseMs) {
      table.extend(pauseMs, now())
      lastReceivedAtMs += pauseMs
      parentWatch.extend(pauseMs)
    },
  }
}
