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
import type { LoadPoller } from '../targets/createLoadPoller.js'
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

/** Options for {@link createRouting}. */
export interface RoutingOptions {
  readonly settings: ResolvedSettings
  readonly incarnation: string
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly membership: () => Pick<Membership, 'livePeers'>
  readonly client: Pick<PeerClient, 'grant' | 'collect'>
  readonly loadPoller: () => Pick<LoadPoller, 'lastReport'>
  readonly cacheEvents: () => Pick<CacheEventReader, 'cachedOn'>
  /** Whether the health of a target allows a request to be sent there. */
  readonly eligible: (targetId: string, idempotent: boolean) => boolean
  readonly metrics: Metrics
  readonly now: () => number
}

const RETRY_AFTER_S = 1
const UPDATE_INTERVAL_MS = 100
/** Load report intervals that a group stays active after its last request. */
const ACTIVE_REPORT_INTERVALS = 3

/** Creates routing that acquires slots from each group's coordinator. */
export function createRouting(options: RoutingOptions): CoordinatorRouting {
  const { settings, incarnation, configuration, membership, metrics, now } =
    options
  const router = settings.router.id
  const tables = createServiceTables(configuration)
  const inFlight = createInFlightCounts()
  const load = createFleetLoad(inFlight, membership)
  const { maxVanished } = settings.routing
  const view = createFleetView({ ...options, router, maxVanished })
  let refreshedAtMs = -Infinity

  const eligible = (id: string): boolean =>
    view.acceptsNewRequests(id) && options.eligible(id, true)

  /**
   * Whether a group has load or recent requests; any other group has no load to
   * report and no new cache events.
   */
  function isActive(group: TargetGroup): boolean {
    const idleMs = now() - allocators.getOrCreate(group).lastRequestAtMs
    if (idleMs <= ACTIVE_REPORT_INTERVALS * settings.targets.reportMs)
      return true
    return group.members.some(({ id }) => load.get(id) > 0)
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
    return load.mean(table, eligible)
  }

  const allocators = createGroupAllocators(router, incarnation, (group) => {
    const { service, membersHash } = group
    const allocator = createGroupAllocator({
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
      reportedLoad: (id) => options.loadPoller().lastReport(id)?.inFlight,
      cachedOn: (key) => options.cacheEvents().cachedOn(key),
      onSelected: ({ source, waitedMs }) => {
        metrics.count('placements', 1, { service, source })
        metrics.timing('decision_wait', waitedMs, { service })
      },
    })
    for (const [index, { id }] of group.members.entries())
      for (let count = inFlight.get(id); count > 0; count -= 1)
        allocator.recordInFlight(index)
    return allocator
  })

  function refreshLoads(): void {
    load.update()
    for (const allocator of allocators.all()) {
      const loads = allocator.group.members.map(({ id }) => load.get(id))
      allocator.refreshQuota({ inFlight: loads, ageMs: load.ageMs() })
    }
    refreshedAtMs = now()
  }

  function update(): void {
    const all = tables.all()
    view.update(all)
    const groups = all.flatMap((table) => table.groups)
    allocators.retain(groups)
    for (const group of groups) allocators.getOrCreate(group).update()
    if (now() - refreshedAtMs >= settings.peers.heartbeatMs) refreshLoads()
  }

  const intervalMs = Math.min(UPDATE_INTERVAL_MS, settings.peers.heartbeatMs)
  const updates = createUpdateScheduler({
    update,
    isActive: () => tables.all().some((table) => table.groups.some(isActive)),
    intervalMs,
    now,
  })

  function acquireSlot(
    request: RoutedRequest,
    target: GroupedTarget,
    group: TargetGroup,
  ): TargetSlot {
    let released = false
    inFlight.add(target.id, 1)
    // An allocator created while the request waited has not counted it.
    const current = tables.getTarget(target.id)
    if (current && current.group.membersHash !== group.membersHash)
      allocators.getOrCreate(current.group).recordInFlight(current.index)
    const { customer, service, chat, serviceKind } = request
    const owner = { customer, service, chat }
    const hasHint = serviceKind === ServiceKind.Model && chat !== ''
    return {
      target,
      hint: hasHint
        ? signHint(settings.secrets.hint, owner, target.id)
        : undefined,
      release: () => {
        if (released) return
        released = true
        inFlight.add(target.id, -1)
        const latest = tables.getTarget(target.id)
        if (latest) allocators.getOrCreate(latest.group).release(latest.index)
      },
    }
  }

  async function selectTarget(
    request: RoutedRequest,
    exclude: ReadonlySet<string>,
  ) {
    const table = tables.get(request.service)
    updates.updateIfStale()
    const key = chatKey(request.chat === '' ? request.id : request.chat)
    const hintId = resolveHint(settings.secrets.hint, request)
    const hint = hintId === undefined ? undefined : table?.targets.get(hintId)
    const factor = maxLoadFactor(request.service)
    const groupOptions = { load, key, hint, maxLoadFactor: factor, eligible }
    for (const group of table ? chooseGroups({ table, ...groupOptions }) : []) {
      const isExcluded = (id: string): boolean =>
        exclude.has(id) || !options.eligible(id, request.idempotent)
      const slotRequest = createPlacementRequest(group, key, hint, isExcluded)
      const allocator = allocators.getOrCreate(group)
      const { index } = await allocator.selectTarget(slotRequest)
      const id = group.members[index]?.id ?? ''
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
    cachedOn: (key) => options.cacheEvents().cachedOn(key),
  })

  const updateLoop = createLoop(
    () => {
      updates.updateIfDue()
      return Promise.resolve()
    },
    intervalMs,
    () => undefined,
  )

  return {
    selectTarget,
    status: createStatus({ tables, load, eligible, maxLoadFactor }),
    explain,
    ownInFlight: () => inFlight.toRecord(),
    handleGrantRequest: (grantRequest) => {
      updates.updateIfStale()
      return allocators.handleGrantRequest(grantRequest)
    },
    handleCollectRequest: (collectRequest) =>
      allocators.handleCollectRequest(collectRequest),
    coordinatedTargets: (includeIdle) =>
      listCoordinatedTargets(
        configuration,
        tables,
        view,
        router,
        (group) => includeIdle || isActive(group),
      ),
    stop: () => updateLoop.stop(),
  }
}
