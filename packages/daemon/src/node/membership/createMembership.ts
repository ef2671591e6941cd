import {
  createPeerLiveness,
  chooseDigestPeers,
  MemberState,
  type VmEntry,
  VmRole,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { PeerClient } from '../peers/createPeerClient.js'
import type { Heartbeat } from '../peers/heartbeat.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop } from '../tasks/createLoop.js'

/** Last reported state of another router. */
export interface PeerStatus {
  readonly id: string
  readonly address?: string
  readonly heartbeat: Heartbeat
  /** Milliseconds since the last heartbeat. */
  readonly ageMs: number
}

/** Tracks which routers are alive. */
export interface Membership {
  /** Peers whose last heartbeat is within the timeout. */
  livePeers(): PeerStatus[]
  /** Records a peer's heartbeat. */
  recordHeartbeat(heartbeat: Heartbeat): void
  stop(): Promise<void>
}

/** Options for {@link createMembership}. */
export interface MembershipOptions {
  readonly settings: ResolvedSettings
  readonly client: PeerClient
  readonly vms: () => readonly VmEntry[]
  readonly self: () => Heartbeat
  /** Called with reported departures: milliseconds since, by VM id. */
  readonly onReportedDepartures: (
    ages: Readonly<Record<string, number>>,
  ) => void
  readonly logger: ConsolaInstance
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
}

/** Peers with a heartbeat within this fraction of the interval are not called. */
const RECENT_HEARTBEAT_FRACTION = 0.75

/** Starts exchanging heartbeats with the routers of the VM list. */
export function createMembership(options: MembershipOptions): Membership {
  const { settings, client, vms, self, now } = options
  const { id: ownId, dataCentre } = settings.router
  const liveness = createPeerLiveness<Heartbeat>(settings.peers.timeoutMs)
  const pendingCalls = new Set<string>()
  const lastHeartbeatAtMs = new Map<string, number>()

  function recordHeartbeat(heartbeat: Heartbeat): void {
    if (heartbeat.router === ownId) return
    lastHeartbeatAtMs.set(heartbeat.router, now())
    const { router, incarnation, leaving } = heartbeat
    liveness.recordHeartbeat(router, incarnation, heartbeat, now())
    options.onReportedDepartures(leaving ?? {})
  }

  function liveRouters(): VmEntry[] {
    return vms().filter(
      (vm) => vm.role === VmRole.Router && vm.state === MemberState.Live,
    )
  }

  // An exchange informs both sides, so only one of them needs to start it.
  function hasRecentHeartbeat(id: string): boolean {
    const atMs = lastHeartbeatAtMs.get(id) ?? -Infinity
    return now() - atMs < RECENT_HEARTBEAT_FRACTION * settings.peers.heartbeatMs
  }

  // Not awaited: an unresponsive peer must not delay heartbeats to the others.
  async function exchangeHeartbeats(vm: VmEntry): Promise<void> {
    if (pendingCalls.has(vm.id)) return
    pendingCalls.add(vm.id)
    await client
      .heartbeat(vm.address, self())
      .then(recordHeartbeat, () => undefined)
    pendingCalls.delete(vm.id)
  }

  function warnOfDuplicates(): void {
    for (const id of liveness.findDuplicates(now()))
      options.logger.warn(
        `Two routers use the id ${id}; the newer one takes precedence. Give each router its own id.`,
      )
  }

  function runRound(): void {
    liveness.tick(now())
    warnOfDuplicates()
    const listed = liveRouters()
    const chosen = new Set(chooseDigestPeers({ id: ownId, dataCentre }, listed))
    for (const vm of listed)
      if (chosen.has(vm.id) && !hasRecentHeartbeat(vm.id))
        void exchangeHeartbeats(vm)
  }

  function livePeers(): PeerStatus[] {
    const addresses = new Map(vms().map(({ id, address }) => [id, address]))
    return liveness
      .livePeers(now())
      .map((peer) => ({ ...peer, address: addresses.get(peer.id) }))
  }

  const loop = createLoop(
    () => {
      runRound()
      return Promise.resolve()
    },
    settings.peers.heartbeatMs,
    () => undefined,
  )
  return { livePeers, recordHeartbeat, stop: () => loop.stop() }
}
