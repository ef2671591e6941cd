import { type PeerUsage, type VmEntry, VmRole } from '@auburnbay/core'
import type { Membership } from '../membership/createMembership.js'
import type { Digest } from '../peers/heartbeat.js'

/** Returns the usage of one limit that a digest reports. */
type UsageReader = (digest: Digest) => number

/** Usage of the limits by the other routers of the fleet. */
export interface FleetUsage {
  /**
   * Returns one entry per peer, unresponsive peers included.
   * @param received Requests received, rejected ones included. @default 0
   */
  peers(used: UsageReader, received?: UsageReader): PeerUsage[]
}

/** Options for {@link createFleetUsage}. */
export interface FleetUsageOptions {
  readonly router: string
  /** Milliseconds for which the last digest of an unresponsive peer counts. */
  readonly holdMs: number
  readonly membership: () => Pick<Membership, 'livePeers'>
  readonly vms: () => readonly VmEntry[]
  readonly now: () => number
}

interface ReceivedDigest {
  readonly digest: Digest
  readonly receivedAtMs: number
}

/** Creates a usage table that keeps the last digest of unresponsive peers. */
export function createFleetUsage(options: FleetUsageOptions): FleetUsage {
  const { router, holdMs, membership, vms, now } = options
  const digests = new Map<string, ReceivedDigest>()

  function recordDigests(): void {
    for (const { id, heartbeat, ageMs } of membership().livePeers())
      digests.set(id, {
        digest: heartbeat.digest,
        receivedAtMs: now() - ageMs,
      })
  }

  function listedRouters(): Set<string> {
    const routers = new Set<string>()
    for (const vm of vms())
      if (vm.role === VmRole.Router && vm.id !== router) routers.add(vm.id)
    return routers
  }

  function usageOf(
    id: string,
    used: UsageReader,
    received: UsageReader,
  ): PeerUsage {
    const last = digests.get(id)
    if (!last) return { router: id, used: 0, ageMs: Infinity }
    const { digest, receivedAtMs } = last
    const ageMs = now() - receivedAtMs
    return { router: id, used: used(digest), received: received(digest), ageMs }
  }

  return {
    peers(used, received = () => 0) {
      recordDigests()
      const routers = listedRouters()
      const peers = [...routers].map((id) => usageOf(id, used, received))
      for (const [id, { receivedAtMs }] of digests) {
        if (now() - receivedAtMs > holdMs) digests.delete(id)
        else if (!routers.has(id)) {
          // A router that left the VM list counts only if it may still run
          // requests.
          const peer = usageOf(id, used, received)
          if (peer.used > 0) peers.push(peer)
        }
      }
      return peers
    },
  }
}
