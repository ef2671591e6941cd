import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { createCallerKey, ServiceKind } from '@auburnbay/core'
import {
  formatAddress,
  type JsonResponse,
  requestJson,
} from '@auburnbay/http-utils'
import {
  createEngine,
  createLogService,
  createPlainService,
  createVmList,
  createRouterSecrets,
  createRouterSettings,
  type EngineOptions,
  type EngineStandIn,
  type ListedVm,
  type LogServiceStandIn,
  type PlainServiceStandIn,
  type StandIn,
  type VmListStandIn,
} from '@auburnbay/stand-ins'
import { createDaemon } from '../createDaemon.js'
import type { Daemon, DaemonOptions } from '../daemon.js'
import { resolveSettings } from '../settings/resolveSettings.js'
import type { Settings } from '../settings/settingsSchema.js'

/** Options for {@link startFleet}. */
export interface FleetOptions {
  /** @default 1 */
  readonly routers?: number
  /** @default 2 */
  readonly engines?: number
  readonly engine?: EngineOptions
  /** Load bound of the model service; default of the product if undefined. */
  readonly maxLoadFactor?: number
  /** Settings that override those of the test fleet. */
  readonly settings?: Partial<Settings>
  /** Options of every daemon. */
  readonly daemon?: DaemonOptions
  /** Returns the settings that override those for one router. */
  readonly settingsOf?: (index: number) => Partial<Settings>
}

/** Routers and stand-ins that run in one process. */
export interface Fleet {
  readonly log: LogServiceStandIn
  readonly vmList: VmListStandIn
  readonly engines: readonly EngineStandIn[]
  readonly plain: PlainServiceStandIn
  readonly routers: Daemon[]
  readonly callerKey: string
  /** Returns the base URL of a router's listener for callers. */
  callerUrl(router?: number): string
  /** Returns the base URL of a router's administration listener. */
  adminUrl(router?: number): string
  /** Submits operations as a patch against version `base`. */
  patch(operations: readonly unknown[], base: number): Promise<JsonResponse>
  /** Starts another router and adds it to the VM list. */
  addRouter(extra?: Partial<Settings>): Promise<Daemon>
  stop(): Promise<void>
}

/** Operator token of test fleets. */
export const TEST_ADMIN_TOKEN = createRouterSecrets('test').admin

/**
 * Load bound of up to four targets that admits a second request to the only
 * busy one. By default a chat that returns before the coordinator has heard of
 * the end of its previous request goes to an idle target.
 */
export const FACTOR_FOR_A_SECOND_REQUEST = 4

const CALL_TIMEOUT_MS = 10_000

function fleetSettings(
  index: number,
  log: StandIn,
  vmList: StandIn,
  extra: Partial<Settings>,
): Settings {
  const base = createRouterSettings({ id: `router-${index + 1}`, log, vmList })
  return {
    ...base,
    vmList: { ...base.vmList, pollMs: 50 },
    peers: { heartbeatMs: 50 },
    targets: { reportMs: 50 },
    // Longer than by default, as delays on a busy machine would trigger the
    // fallback.
    routing: { homeLimitMs: 500 },
    stopping: { ...base.stopping, drainTimeoutMs: 10_000 },
    ...extra,
  }
}

/** Polls `check` until it returns true; throws after `CALL_TIMEOUT_MS`. */
export async function eventually(check: () => Promise<boolean> | boolean) {
  const deadline = performance.now() + CALL_TIMEOUT_MS
  while (performance.now() < deadline) {
    if (await check()) return
    await sleep(10)
  }
  throw new Error(
    `the expected state was not reached within ${CALL_TIMEOUT_MS} ms`,
  )
}

async function isReady(router: Daemon): Promise<boolean> {
  const url = `http://${formatAddress(router.addresses.callers)}/readyz`
  const response = await requestJson({
    method: 'GET',
    url,
    timeoutMs: CALL_TIMEOUT_MS,
  })
  return response.isOk() && response.value.status === 200
}

function initialOperations(
  engines: readonly StandIn[],
  plain: StandIn,
  key: unknown,
  maxLoadFactor?: number,
) {
  const add = (path: string, value: unknown) => ({ op: 'add', path, value })
  const target = (service: string, standIn: StandIn) => ({
    service,
    address: formatAddress(standIn.address),
    dataCentre: 'dc-1',
  })
  return [
    add('/customers/corrib', { keys: { bridge: key } }),
    add('/services/briefing', { kind: ServiceKind.Model, maxLoadFactor }),
    add('/services/charts', { kind: ServiceKind.Plain }),
    ...engines.map((engine, index) =>
      add(`/targets/engine-${index + 1}`, target('briefing', engine)),
    ),
    add('/targets/charts-1', target('charts', plain)),
  ]
}

/**
 * Starts stand-ins and routers and submits a first configuration, version 1.
 */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const log = await createLogService()
  const vmList = await createVmList()
  const plain = await createPlainService()
  const engines: EngineStandIn[] = []
  for (let index = 0; index < (options.engines ?? 2); index += 1)
    engines.push(await createEngine(options.engine))
  const routers: Daemon[] = []
  const addRouter = async (extra: Partial<Settings> = {}): Promise<Daemon> => {
    const settings = fleetSettings(routers.length, log, vmList, extra)
    const resolved = resolveSettings(settings)._unsafeUnwrap()
    const router = await createDaemon(resolved, options.daemon)
    routers.push(router)
    const entry: ListedVm = {
      id: resolved.router.id,
      role: 'router',
      address: formatAddress(router.addresses.peers),
      dataCentre: resolved.router.dataCentre,
      state: 'live',
    }
    vmList.vms = [...vmList.vms.filter(({ id }) => id !== entry.id), entry]
    return router
  }
  for (let index = 0; index < (options.routers ?? 1); index += 1)
    await addRouter({ ...options.settings, ...options.settingsOf?.(index) })
  const key = createCallerKey('corrib', 'bridge')

  const urlOf = (part: keyof Daemon['addresses'], index: number): string => {
    const router = routers[index]
    if (!router) throw new Error(`there is no router ${index}`)
    return `http://${formatAddress(router.addresses[part])}`
  }
  const fleet: Fleet = {
    log,
    vmList,
    engines,
    plain,
    routers,
    callerKey: key.text,
    addRouter,
    callerUrl: (index = 0) => urlOf('callers', index),
    adminUrl: (index = 0) => urlOf('admin', index),
    patch: async (operations, base) => {
      const response = await requestJson({
        method: 'POST',
        url: `${urlOf('admin', 0)}/config/patches`,
        headers: { authorization: `Bearer ${TEST_ADMIN_TOKEN}` },
        body: {
          patchId: randomUUID(),
          baseVersion: base,
          author: 'test',
          operations,
        },
        timeoutMs: CALL_TIMEOUT_MS,
      })
      return response._unsafeUnwrap()
    },
    stop: async () => {
      await Promise.all(routers.map((router) => router.stop()))
      const standIns = [log, vmList, plain, ...engines]
      await Promise.all(standIns.map((standIn) => standIn.close()))
    },
  }
  const operations = initialOperations(
    engines,
    plain,
    key.stored,
    options.maxLoadFactor,
  )
  const response = await fleet.patch(operations, 0)
  if (response.status !== 200) throw new Error(JSON.stringify(response.body))
  await eventually(async () => {
    const ready = await Promise.all(routers.map(isReady))
    return ready.every(Boolean)
  })
  return fleet
}
