import {
  type Configuration,
  FailureCode,
  ServiceKind,
  signHint,
  type TargetGroup,
  type VmEntry,
} from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import { createFailure } from '../callers/createFailure.js'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { Membership } from '../membership/createMembership.js'
import type { Metrics } from '../metrics/metrics.js'
import type { PeerClient } from '../peers/createPeerClient.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { CacheEventReader } from '../targets/createCacheEventReader.js'
import type { LoadReporter } from '../targets/createLoadReporter.js'
import { createLoop } from '../tasks/createLoop.js'
import { chatKey } from './chatKey.js'
import { chooseGroups } from './chooseGroups.js'
import { createExplain } from './createExplain.js'
import { createFleetLoad } from './createFleetLoad.js'
import { createFleetView } from './createFleetView.js'
import { createGroupAllocator } from './createGroupAllocator.js'
import { createGroupAllocators } from './createGroupAllocators.js'
import { createInFlightCounts } from './createInFlightCounts.js'
import {
  createServiceTables,
  type GroupedTarget,
} from './createServiceTables.js'
import { createUpdateScheduler } from './createUpdateScheduler.js'
import { createPlacementRequest } from './createPlacementRequest.js'
import { createStatus } from './createStatus.js'
import { listCoordinatedTargets } from './listCoordinatedTargets.js'
import { resolveHint } from './resolveHint.js'
import type { CoordinatorRouting, TargetSlot, Routing } from './routing.js'

/** What the choice of targets works with. */
export interface RoutingOptions {
  readonly settings: ResolvedSettings
  readonly incarnation: string
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly membership: () => Pick<Membership, 'livePeers'>
  readonly client: Pick<PeerClient, 'grant' | 'collect'>
  readonly reporter: () => Pick<LoadReporter, 'report'>
  readonly cacheEvents: () => Pick<CacheEventReader, 'targetOf'>
  /** Whether a target's health lets a request go there. */
  readonly eligible: (targetId: string, idempotent: boolean) => boolean
  readonly metrics: Metrics
  readonly now: () => number
}

const RETRY_AFTER_S = 1
const UPDATE_INTERVAL_MS = 100
/** Rounds of reports that a group still gets after its last request has ended. */
const IDLE_REPORT_ROUNDS = 3

/** Creates routing by grants of each group's home router. */
export function createRouting(options: RoutingOptions): CoordinatorRouting {
  const { settings, incarnation, configuration, membership, metrics, now } =
    options
  const router = settings.router.id
  const tables = createServiceTables(configuration)
  const inFlight = createInFlightCounts()
  const load = createFleetLoad(inFlight, membership)
  const { maxVanished } = settings.routing
  const { vms } = options
  const view = createFleetView({
    router,
    configuration,
    vms,
    membership,
    maxVanished,
    now,
  })
  let refreshedAtMs = -Infinity

  const eligible = (id: string): boolean =>
    view.acceptsNewRequests(id) && options.eligible(id, true)

  /** A group without requests has no load to report and no new cache events. */
  function isActive(group: TargetGroup): boolean {
    const idleMs = now() - allocators.getOrCreate(group).lastRequestAtMs
    if (idleMs <= IDLE_REPORT_ROUNDS * settings.targets.reportMs) return true
    return group.members.some(({ id }) => load.loadOf(id) > 0)
  }

  function addressOf(peer: string): string | undefined {
    return membership()
      .livePeers()
      .find(({ id }) => id === peer)?.address
  }

  function maxLoadFactor(service: string): number {
    return configuration().services[service]?.maxLoadFactor ?? 1
  }

  function serviceMean(service: string): number | undefined {
    const table = tables.get(service)
    if (!table || table.groups.length < 2) return undefined
    return load.meanLoad(table, eligible)
  }

  const allocators = createGroupAllocators(router, incarnation, (group) => {
    const { service, membersHash } = group
    const task = createGroupAllocator({
      group,
      router,
      incarnation: `${incarnation}/${membersHash.toString(36)}`,
      coordinatorTimeoutMs: settings.routing.homeLimitMs,
      maxAgeMs: settings.peers.timeoutMs,
      view,
      client: options.client,
      addressOf,
      now,
      maxLoadFactor: () => maxLoadFactor(service),
      serviceMean: () => serviceMean(service),
      eligible,
      reportedLoad: (id) => options.reporter().report(id)?.inFlight,
      cachedOn: (key) => options.cacheEvents().targetOf(key),
      onAllocated: ({ source, waitedMs }) => {
        metrics.count('placements', 1, { service, source })
        metrics.timing('decision_wait', waitedMs, { service })
      },
    })
    for (const [index, { id }] of group.members.entries())
      for (let count = inFlight.get(id); count > 0; count -= 1)
        task.recordInFlight(index)
    return task
  })

  function refresh(): void {
    load.update()
    for (const task of allocators.all()) {
      const known = task.group.members.map(({ id }) => load.loadOf(id))
      task.refreshQuota({ inFlight: known, ageMs: load.ageMs() })
    }
    refreshedAtMs = now()
  }

  function update(): void {
    const all = tables.all()
    view.update(all)
    const groups = all.flatMap((table) => table.groups)
    allocators.retain(groups)
    for (const group of groups) allocators.getOrCreate(group).update()
    if (now() - refreshedAtMs >= settings.peers.heartbeatMs) refresh()
  }

  const everyMs = Math.min(UPDATE_INTERVAL_MS, settings.peers.heartbeatMs)
  const updates = createUpdateScheduler({
    update,
    isActive: () => tables.all().some((table) => table.groups.some(isActive)),
    intervalMs: everyMs,
    now,
  })

  function acquireSlot(
    request: RoutedRequest,
    target: GroupedTarget,
    group: TargetGroup,
  ): TargetSlot {
    let released = false
    inFlight.add(target.id, 1)
    // A task made while the request waited has not counted it.
    const current = tables.getTarget(target.id)
    if (current && current.group.membersHash !== group.membersHash)
      allocators.getOrCreate(current.group).recordInFlight(current.index)
    const { customer, service, chat, serviceKind } = request
    const owner = { customer, service, chat }
    const hinted = serviceKind === ServiceKind.Model && chat !== ''
    return {
      target,
      hint: hinted
        ? signHint(settings.secrets.hint, owner, target.id)
        : undefined,
      release: () => {
        if (released) return
        released = true
        inFlight.add(target.id, -1)
        const now = tables.getTarget(target.id)
        if (now) allocators.getOrCreate(now.group).release(now.index)
      },
    }
  }

  async function place(request: RoutedRequest, excluded: ReadonlySet<string>) {
    const table = tables.get(request.service)
    updates.updateIfStale()
    const key = chatKey(request.chat === '' ? request.id : request.chat)
    const hinted = resolveHint(settings.secrets.hint, request)
    const hint = hinted === undefined ? undefined : table?.targets.get(hinted)
    const factor = maxLoadFactor(request.service)
    const choice = { load, key, hint, maxLoadFactor: factor, eligible }
    for (const group of table ? chooseGroups({ table, ...choice }) : []) {
      const barred = (id: string): boolean =>
        excluded.has(id) || !options.eligible(id, request.idempotent)
      const want = createPlacementRequest(group, key, hint, barred)
      const placed = await allocators.getOrCreate(group).allocate(want)
      const id = group.members[placed.index]?.id ?? ''
      const target = table?.targets.get(id)
      if (target) return ok(acquireSlot(request, target, group))
    }
    const message = `no target of ${request.service} can take the request`
    return err(
      createFailure(FailureCode.NoTarget, message, undefined, RETRY_AFTER_S),
    )
  }

  const explain: Routing['explain'] = createExplain({
    tables,
    load,
    view,
    eligible,
    maxLoadFactor,
    cachedOn: (key) => options.cacheEvents().targetOf(key),
  })

  const loop = createLoop(
    () => {
      updates.updateIfDue()
      return Promise.resolve()
    },
    everyMs,
    () => undefined,
  )

  return {
    place,
    status: createStatus({ tables, load, eligible, maxLoadFactor }),
    explain,
    ownInFlight: () => inFlight.toRecord(),
    onGrant: (ask) => {
      updates.updateIfStale()
      return allocators.onGrant(ask)
    },
    onCollect: (ask) => allocators.onCollect(ask),
    coordinatedTargets: (resting) =>
      listCoordinatedTargets(
        configuration,
        tables,
        view,
        router,
        (group) => resting || isActive(group),
      ),
    stop: () => loop.stop(),
  }
}
