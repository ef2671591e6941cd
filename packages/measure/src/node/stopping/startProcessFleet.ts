import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { createCallerKey, ServiceKind } from '@auburnbay/core'
import type { Settings } from '@auburnbay/daemon'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import {
  createEngine,
  createLogService,
  createPlainService,
  createVmList,
  createRouterSecrets,
  createRouterSettings,
  type EngineOptions,
  type EngineStandIn,
  type PlainServiceStandIn,
  type StandIn,
} from '@auburnbay/stand-ins'
import { forkRouter, type RouterProcess } from './forkRouter.js'

/** Router processes in front of stand-ins that run in this process. */
export interface ProcessFleet {
  readonly engines: readonly EngineStandIn[]
  readonly plainService: PlainServiceStandIn
  readonly callerKey: string
  /** Routers on the VM list. */
  readonly routers: ReadonlySet<RouterProcess>
  /** Starts another router and waits until it is ready. */
  add(): Promise<RouterProcess>
  /** Removes a router that has exited from the VM list. */
  remove(router: RouterProcess): void
  stop(): Promise<void>
}

/** Options for {@link startProcessFleet}. */
export interface ProcessFleetOptions {
  readonly routers: number
  readonly engine: EngineOptions
  readonly stopping: Settings['stopping']
}

const CALL_TIMEOUT_MS = 10_000
const READY_POLL_MS = 20
const PURPOSE = 'measure'
const ADMIN_TOKEN = createRouterSecrets(PURPOSE).admin

/** Returns whether a router reports that it is ready. */
export async function isReady(router: RouterProcess): Promise<boolean> {
  const response = await requestJson({
    method: 'GET',
    url: `http://${formatAddress(router.addresses.callers)}/readyz`,
    timeoutMs: CALL_TIMEOUT_MS,
  })
  return response.isOk() && response.value.status === 200
}

function createOperations(
  engines: readonly StandIn[],
  plainService: StandIn,
  storedKey: unknown,
): unknown[] {
  const add = (path: string, value: unknown) => ({ op: 'add', path, value })
  const target = (service: string, standIn: StandIn) => ({
    service,
    address: formatAddress(standIn.address),
    dataCentre: 'dc-1',
  })
  return [
    add('/customers/corrib', { keys: { bridge: storedKey } }),
    add('/services/briefing', { kind: ServiceKind.Model }),
    add('/services/charts', { kind: ServiceKind.Plain }),
    ...engines.map((engine, index) =>
      add(`/targets/engine-${index + 1}`, target('briefing', engine)),
    ),
    add('/targets/charts-1', target('charts', plainService)),
  ]
}

/** Starts stand-ins and router processes that share one configuration. */
export async function startProcessFleet(
  options: ProcessFleetOptions,
): Promise<ProcessFleet> {
  const log = await createLogService()
  const vmList = await createVmList()
  const plainService = await createPlainService()
  const engines = await Promise.all(
    [0, 1, 2].map(() => createEngine(options.engine)),
  )
  const routers = new Set<RouterProcess>()
  const key = createCallerKey('corrib', 'bridge')
  let started = 0

  function publishVms(): void {
    vmList.vms = [...routers].map(({ id, addresses }) => ({
      id,
      role: 'router',
      address: formatAddress(addresses.peers),
      dataCentre: 'dc-1',
      state: 'live',
    }))
  }

  async function start(): Promise<RouterProcess> {
    started += 1
    const base = createRouterSettings({
      id: `router-${started}`,
      log,
      vmList,
      purpose: PURPOSE,
    })
    const router = await forkRouter({
      ...base,
      vmList: { ...base.vmList, pollMs: 100 },
      peers: { heartbeatMs: 100 },
      stopping: options.stopping,
    })
    routers.add(router)
    publishVms()
    return router
  }

  async function waitUntilReady(router: RouterProcess): Promise<RouterProcess> {
    while (!(await isReady(router))) await sleep(READY_POLL_MS)
    return router
  }

  const first = await start()
  const response = await requestJson({
    method: 'POST',
    url: `http://${formatAddress(first.addresses.admin)}/config/patches`,
    headers: { authorization: `Bearer ${ADMIN_TOKEN}` },
    body: {
      patchId: randomUUID(),
      baseVersion: 0,
      author: 'measure',
      operations: createOperations(engines, plainService, key.stored),
    },
    timeoutMs: CALL_TIMEOUT_MS,
  })
  if (response.isErr() || response.value.status !== 200)
    throw new Error(
      `the router rejected the configuration: ${JSON.stringify(response)}`,
    )
  await waitUntilReady(first)
  for (let index = 1; index < options.routers; index += 1)
    await waitUntilReady(await start())

  return {
    engines,
    plainService,
    callerKey: key.text,
    routers,
    add: async () => waitUntilReady(await start()),
    remove: (router) => {
      routers.delete(router)
      publishVms()
    },
    stop: async () => {
      for (const { child } of routers) child.kill('SIGTERM')
      await Promise.all([...routers].map(({ exited }) => exited))
      const standIns = [log, vmList, plainService, ...engines]
      await Promise.all(standIns.map((standIn) => standIn.close()))
    },
  }
}
