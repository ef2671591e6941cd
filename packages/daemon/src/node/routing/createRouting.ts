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
import { createGroupTask } from './createGroupTask.js'
import { createGroupTasks } from './createGroupTasks.js'
import { createInFlight } from './createInFlight.js'
import {
  createServiceTables,
  type GroupedTarget,
} from './createServiceTables.js'
import { createUpdatePace } from './createUpdatePace.js'
import { createWant } from './createWant.js'
import { createStatus } from './createStatus.js'
import { homeTargets } from './homeTargets.js'
import { findHint } from './findHint.js'
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
const UPDATE_MS = 100
/** Rounds of reports that a group still gets after its last request has ended. */
const REPORTS_AFTER_USE = 3

/** Creates routing by grants of each group's home router. */
export function createRouting(options: RoutingOptions): CoordinatorRouting {
  const { settings, incarnation, configuration, membership, metrics, now } =
    options
  const router = settings.router.id
  const tables = createServiceTables(configuration)
  const inFlight = createInFlight()
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
    view.listed(id) && options.eligible(id, true)

  /** A group without requests has no load to report and no new cache events. */
  function inUse(group: TargetGroup): boolean {
    const idleMs = now() - tasks.of(group).askedAtMs
    if (idleMs <= REPORTS_AFTER_USE * settings.targets.reportMs) return true
    return group.members.some(({ id }) => load.of(id) > 0)
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
    const table = tables.tableOf(service)
    if (!table || table.groups.length < 2) return undefined
    return load.mean(table, eligible)
  }

  const tasks = createGroupTasks(router, incarnation, (group) => {
    const { service, membersHash } = group
    const task = createGroupTask({
      group,
      router,
      incarnation: `${incarnation}/${membersHash.toString(36)}`,
      homeLimitMs: settings.routing.homeLimitMs,
      maxAgeMs: settings.peers.timeoutMs,
      view,
      client: options.client,
      addressOf,
      now,
      maxLoadFactor: () => maxLoadFactor(service),
      serviceMean: () => serviceMean(service),
      eligible,
      reported: (id) => options.reporter().report(id)?.inFlight,
      indexed: (key) => options.cacheEvents().targetOf(key),
      onPlaced: ({ source, waitedMs }) => {
        metrics.count('placements', 1, { service, source })
        metrics.timing('decision_wait', waitedMs, { service })
      },
    })
    for (const [index, { id }] of group.members.entries())
      for (let count = inFlight.of(id); count > 0; count -= 1) task.adopt(index)
    return task
  })

  function refresh(): void {
    load.update()
    for (const task of tasks.all()) {
      const known = task.group.members.map(({ id }) => load.of(id))
      task.refresh({ known, ageMs: load.ageMs() })
    }
    refreshedAtMs = now()
  }

  function update(): void {
    const all = tables.all()
    view.update(all)
    const groups = all.flatMap((table) => table.groups)
    tasks.keep(groups)
    for (const group of groups) tasks.of(group).update()
    if (now() - refreshedAtMs >= settings.peers.heartbeatMs) refresh()
  }

  const everyMs = Math.min(UPDATE_MS, settings.peers.heartbeatMs)
  const pace = createUpdatePace({
    update,
    inUse: () => tables.all().some((table) => table.groups.some(inUse)),
    everyMs,
    now,
  })

  function hold(
    request: RoutedRequest,
    target: GroupedTarget,
    group: TargetGroup,
  ): TargetSlot {
    let released = false
    inFlight.add(target.id, 1)
    // A task made while the request waited has not counted it.
    const current = tables.target(target.id)
    if (current && current.group.membersHash !== group.membersHash)
      tasks.of(current.group).adopt(current.index)
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
        const now = tables.target(target.id)
        if (now) tasks.of(now.group).finished(now.index)
      },
    }
  }

  async function place(request: RoutedRequest, excluded: ReadonlySet<string>) {
    const table = tables.tableOf(request.service)
    pace.whenOld()
    const key = chatKey(request.chat === '' ? request.id : request.chat)
    const hinted = findHint(settings.secrets.hint, request)
    const hint = hinted === undefined ? undefined : table?.targets.get(hinted)
    const factor = maxLoadFactor(request.service)
    const choice = { load, key, hint, maxLoadFactor: factor, eligible }
    for (const group of table ? chooseGroups({ table, ...choice }) : []) {
      const barred = (id: string): boolean =>
        excluded.has(id) || !options.eligible(id, request.idempotent)
      const want = createWant(group, key, hint, barred)
      const placed = await tasks.of(group).place(want)
      const id = group.members[placed.index]?.id ?? ''
      const target = table?.targets.get(id)
      if (target) return ok(hold(request, target, group))
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
    indexed: (key) => options.cacheEvents().targetOf(key),
  })

  const loop = createLoop(
    () => {
      pace.inTurn()
      return Promise.resolve()
    },
    everyMs,
    () => undefined,
  )

  return {
    place,
    status: createStatus({ tables, load, eligible, maxLoadFactor }),
    explain,
    ownInFlight: () => inFlight.all(),
    onGrant: (ask) => {
      pace.whenOld()
      return tasks.onGrant(ask)
    },
    onCollect: (ask) => tasks.onCollect(ask),
    coordinatedTargets: (resting) =>
      homeTargets(
        configuration,
        tables,
        view,
        router,
        (group) => resting || inUse(group),
      ),
    stop: () => loop.stop(),
  }
}
