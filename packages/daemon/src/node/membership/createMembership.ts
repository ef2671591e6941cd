import { MemberState, type VmEntry, VmRole } from '@auburnbay/core'
import type { PeerClient } from '../peers/createPeerClient.js'
import type { Heartbeat } from '../peers/heartbeat.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop } from '../tasks/createLoop.js'

/** A router as this router last heard of it. */
export interface PeerStatus {
  readonly id: string
  readonly address?: string
  readonly heartbeat: Heartbeat
  /** Milliseconds since the last heartbeat. */
  readonly ageMs: number
}

/** Knows which routers are alive. */
export interface Membership {
  /** Peers heard of within the time limit. */
  livePeers(): PeerStatus[]
  /** Takes in a peer's heartbeat. */
  heard(heartbeat: Heartbeat): void
  stop(): Promise<void>
}

/** What a membership task works with. */
export interface MembershipOptions {
  readonly settings: ResolvedSettings
  readonly client: PeerClient
  readonly vms: () => readonly VmEntry[]
  readonly self: () => Heartbeat
  readonly now: () => number
}

/** Share of the heartbeat interval within which a peer need not be asked. */
const HEARD_LATELY = 0.75

interface HeardPeer {
  heartbeat: Heartbeat
  atMs: number
}

/** Starts exchanging heartbeats with the routers of the VM list. */
export function createMembership(options: MembershipOptions): Membership {
  const { settings, client, vms, self, now } = options
  const peers = new Map<string, HeardPeer>()

  function heard(heartbeat: Heartbeat): void {
    if (heartbeat.router === settings.router.id) return
    peers.set(heartbeat.router, { heartbeat, atMs: now() })
  }

  function routers(): VmEntry[] {
    return vms().filter(
      (vm) =>
        vm.role === VmRole.Router &&
        vm.id !== settings.router.id &&
        vm.state === MemberState.Live,
    )
  }

  // An exchange informs both sides, so one of the two begins it.
  function heardLately(id: string): boolean {
    const atMs = peers.get(id)?.atMs ?? -Infinity
    return now() - atMs < HEARD_LATELY * settings.peers.heartbeatMs
  }

  async function round(): Promise<void> {
    const due = routers().filter(({ id }) => !heardLately(id))
    const calls = due.map((vm) =>
      client.heartbeat(vm.address, self()).then(heard, () => undefined),
    )
    await Promise.all(calls)
  }

  function livePeers(): PeerStatus[] {
    const live: PeerStatus[] = []
    for (const [id, peer] of peers) {
      const ageMs = now() - peer.atMs
      if (ageMs > settings.peers.timeoutMs) continue
      const address = vms().find((vm) => vm.id === id)?.address
      live.push({ id, address, heartbeat: peer.heartbeat, ageMs })
    }
    return live
  }

  const loop = createLoop(round, settings.peers.heartbeatMs, () => undefined)
  return { livePeers, heard, stop: () => loop.stop() }
}
