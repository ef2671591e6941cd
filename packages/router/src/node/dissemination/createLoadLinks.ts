import { LINK_TIMEOUT_MS } from '../membership/createParentWatch.js'
import { FleetRole, type Topology } from '../membership/createTopology.js'
import { decodeLoad } from '../peers/digestLoad.js'
import type { PeerDigest } from '../peers/peerDigest.js'
import type { RouterState } from '../peers/routerState.js'
import type { FleetLoad } from '../routing/createFleetLoad.js'
import { DigestLink } from './digestLink.js'

/** Options for {@link createLoadLinks}. */
export interface LoadLinksOptions {
  readonly load: FleetLoad
  readonly state: Pick<RouterState, 'targetIds' | 'targetsFingerprint'>
  readonly topology: () => Topology
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Decides whose reports of load count, so that each request counts once. */
export interface LoadLinks {
  /** Records a digest; returns whether its sender has become a member of this router. */
  receive(digest: PeerDigest): boolean
  /** Returns the routers that have chosen this one as their aggregator. */
  members(): readonly string[]
  /** Returns the routers that have regarded this one as their equal just now. */
  equals(): readonly string[]
  /** Forgets a router that sends no digests any more. */
  remove(router: string): void
  /** Forgets the load of peers whose place in the fleet has changed. */
  removeOutdated(): void
}

/** Creates links without a peer. */
export function createLoadLinks(options: LoadLinksOptions): LoadLinks {
  const { load, state, topology, now } = options
  const members = new Set<string>()
  /** Times of the last digests of equals on the monotonic clock, in milliseconds. */
  const equalsAtMs = new Map<string, number>()

  /** Whether the load of a router that is no member counts. */
  function isSource(router: string): boolean {
    const { role, parent } = topology()
    switch (role) {
      case FleetRole.Mesh:
        return true
      case FleetRole.Aggregator:
        return equalsAtMs.has(router)
      case FleetRole.Member:
        return router === parent
    }
  }

  function accepts({ router, link }: PeerDigest): boolean {
    const { role, parent } = topology()
    switch (link) {
      case DigestLink.ToAggregator:
        return true
      case DigestLink.ToMember:
        return router === parent
      case DigestLink.Reply:
      case DigestLink.Probe:
        return role === FleetRole.Mesh
      default:
        return role !== FleetRole.Member
    }
  }

  function updateLinks({ router, link }: PeerDigest): boolean {
    const wasMember = members.delete(router)
    const wasEqual = equalsAtMs.delete(router)
    if (link === DigestLink.ToAggregator) members.add(router)
    if (link === DigestLink.Peer || link === null) equalsAtMs.set(router, now())
    // What it covered before may now be covered by another router.
    const isLinked = members.has(router) || equalsAtMs.has(router)
    if ((wasMember || wasEqual) && !isLinked) load.removePeer(router)
    return !wasMember && members.has(router)
  }

  function removeOutdated(): void {
    const { parent } = topology()
    // What is known counts until the first digest of a new parent.
    if (parent !== undefined && !load.peers().includes(parent)) return
    for (const router of load.peers())
      if (!members.has(router) && !isSource(router)) load.removePeer(router)
  }

  return {
    receive(digest) {
      const isNewMember = updateLinks(digest)
      const hasSameTargets =
        digest.targetsFingerprint === state.targetsFingerprint()
      // Load has indexes into the list of targets.
      if (hasSameTargets && accepts(digest)) {
        load.updatePeer(
          digest.router,
          decodeLoad(state.targetIds(), digest),
          now(),
        )
        removeOutdated()
      }
      return isNewMember
    },
    members: () => [...members],
    equals() {
      for (const [router, atMs] of equalsAtMs)
        if (now() - atMs > LINK_TIMEOUT_MS) equalsAtMs.delete(router)
      return [...equalsAtMs.keys()]
    },
    remove(router) {
      const wasLinked = members.delete(router) || equalsAtMs.delete(router)
      if (wasLinked) load.removePeer(router)
    },
    removeOutdated,
  }
}
