import { type PeerUsage, type VmEntry, VmRole } from '@auburnbay/core'
import type { Membership } from '../membership/createMembership.js'
import type { Digest } from '../peers/heartbeat.js'

/** Reads a use of a limit from a digest. */
type UseOf = (digest: Digest) => number

/** What the other routers of the fleet use, silent ones included. */
export interface FleetUsage {
  peers(use: UseOf, asked?: UseOf): PeerUsage[]
}

/** What a fleet's usage is made of. */
export interface FleetUsageOptions {
  readonly router: string
  /** Milliseconds for which a silent peer's last digest counts. */
  readonly holdMs: number
  readonly membership: () => Pick<Membership, 'livePeers'>
  readonly vms: () => readonly VmEntry[]
  readonly now: () => number
}

interface Heard {
  readonly digest: Digest
  readonly atMs: number
}

/** Remembers each peer's last digest after the peer fell silent. */
export function createFleetUsage(options: FleetUsageOptions): FleetUsage {
  const { router, holdMs, membership, vms, now } = options
  const heard = new Map<string, Heard>()

  function listen(): void {
    for (const { id, heartbeat, ageMs } of membership().livePeers())
      heard.set(id, { digest: heartbeat.digest, atMs: now() - ageMs })
  }

  function listed(): Set<string> {
    const routers = new Set<string>()
    for (const vm of vms())
      if (vm.role === VmRole.Router && vm.id !== router) routers.add(vm.id)
    return routers
  }

  function usageOf(id: string, use: UseOf, asked: UseOf): PeerUsage {
    const last = heard.get(id)
    if (!last) return { router: id, used: 0, ageMs: Infinity }
    const { digest, atMs } = last
    const ageMs = now() - atMs
    return { router: id, used: use(digest), asked: asked(digest), ageMs }
  }

  return {
    peers(use, asked = () => 0) {
      listen()
      const routers = listed()
      const peers = [...routers].map((id) => usageOf(id, use, asked))
      for (const [id, { atMs }] of heard) {
        if (now() - atMs > holdMs) heard.delete(id)
        else if (!routers.has(id)) {
          // A router off the list counts only for what it may still run.
          const peer = usageOf(id, use, asked)
          if (peer.used > 0) peers.push(peer)
        }
      }
      return peers
    },
  }
}
