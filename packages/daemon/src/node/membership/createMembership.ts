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
  recordHeartbeat(heartbeat: Heartbeat): void
  stop(): Promise<void>
}

/** What a membership task works with. */
export interface MembershipOptions {
  readonly settings: ResolvedSettings
  readonly client: PeerClient
  readonly vms: () => readonly VmEntry[]
  readonly self: () => Heartbeat
  /** Takes in the departures that a peer knows of. */
  readonly onReportedDepartures: (
    ages: Readonly<Record<string, number>>,
  ) => void
  readonly logger: ConsolaInstance
  readonly now: () => number
}

/** Share of the heartbeat interval within which a peer need not be asked. */
const HEARD_LATELY = 0.75

/** Starts exchanging heartbeats with the routers of the VM list. */
export function createMembership(options: MembershipOptions): Membership {
  const { settings, client, vms, self, now } = options
  const { id: own, dataCentre } = settings.router
  const liveness = createPeerLiveness<Heartbeat>(settings.peers.timeoutMs)
  const calling = new Set<string>()
  const heardAtMs = new Map<string, number>()

  function heard(heartbeat: Heartbeat): void {
    if (heartbeat.router === own) return
    heardAtMs.set(heartbeat.router, now())
    const { router, incarnation, leaving } = heartbeat
    liveness.recordHeartbeat(router, incarnation, heartbeat, now())
    options.onReportedDepartures(leaving ?? {})
  }

  function routers(): VmEntry[] {
    return vms().filter(
      (vm) => vm.role === VmRole.Router && vm.state === MemberState.Live,
    )
  }

  // An exchange informs both sides, so one of the two begins it.
  function heardLately(id: string): boolean {
    const atMs = heardAtMs.get(id) ?? -Infinity
    return now() - atMs < HEARD_LATELY * settings.peers.heartbeatMs
  }

  // A silent peer must not delay the heartbeats to the others.
  async function call(vm: VmEntry): Promise<void> {
    if (calling.has(vm.id)) return
    calling.add(vm.id)
    await client.heartbeat(vm.address, self()).then(heard, () => undefined)
    calling.delete(vm.id)
  }

  function reportDuplicates(): void {
    for (const id of liveness.findDuplicates(now()))
      options.logger.warn(
        `Two routers call themselves ${id}; the newer one counts. Give each its own id.`,
      )
  }

  function round(): void {
    liveness.tick(now())
    reportDuplicates()
    const listed = routers()
    const chosen = new Set(chooseDigestPeers({ id: own, dataCentre }, listed))
    for (const vm of listed)
      if (chosen.has(vm.id) && !heardLately(vm.id)) void call(vm)
  }

  function livePeers(): PeerStatus[] {
    const addresses = new Map(vms().map(({ id, address }) => [id, address]))
    return liveness
      .livePeers(now())
      .map((peer) => ({ ...peer, address: addresses.get(peer.id) }))
  }

  const loop = createLoop(
    () => {
      round()
      return Promise.resolve()
    },
    settings.peers.heartbeatMs,
    () => undefined,
  )
  return { livePeers, recordHeartbeat: heard, stop: () => loop.stop() }
}
