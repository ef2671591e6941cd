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

/** Router processes before stand-ins of this process. */
export interface ProcessFleet {
  readonly engines: readonly EngineStandIn[]
  readonly plain: PlainServiceStandIn
  readonly callerKey: string
  /** Routers that run. */
  readonly routers: ReadonlySet<RouterProcess>
  /** Starts another router and waits until it is ready. */
  add(): Promise<RouterProcess>
  /** Takes a router that has ended off the VM list. */
  remove(router: RouterProcess): void
  stop(): Promise<void>
}

/** What a fleet of processes consists of. */
export interface ProcessFleetOptions {
  readonly routers: number
  readonly engine: EngineOptions
  readonly stopping: Settings['stopping']
}

const CALL_TIMEOUT_MS = 10_000
const READY_PAUSE_MS = 20
const PURPOSE = 'measure'
const ADMIN_TOKEN = createRouterSecrets(PURPOSE).admin

/** Returns whether a router's readiness holds. */
export async function isReady(router: RouterProcess): Promise<boolean> {
  const reply = await requestJson({
    method: 'GET',
    url: `http://${formatAddress(router.addresses.callers)}/readyz`,
    timeoutMs: CALL_TIMEOUT_MS,
  })
  return reply.isOk() && reply.value.status === 200
}

function operationsFor(
  engines: readonly StandIn[],
  plain: StandIn,
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
    add('/targets/charts-1', target('charts', plain)),
  ]
}

/** Starts stand-ins and router processes with one configuration in force. */
export async function startProcessFleet(
  options: ProcessFleetOptions,
): Promise<ProcessFleet> {
  const log = await createLogService()
  const vmList = await createVmList()
  const plain = await createPlainService()
  const engines = await Promise.all(
    [0, 1, 2].map(() => createEngine(options.engine)),
  )
  const routers = new Set<RouterProcess>()
  const key = createCallerKey('corrib', 'bridge')
  let started = 0

  function publish(): void {
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
    publish()
    return router
  }

  async function untilReady(router: RouterProcess): Promise<RouterProcess> {
    while (!(await isReady(router))) await sleep(READY_PAUSE_MS)
    return router
  }

  const first = await start()
  const accepted = await requestJson({
    method: 'POST',
    url: `http://${formatAddress(first.addresses.admin)}/config/patches`,
    headers: { authorization: `Bearer ${ADMIN_TOKEN}` },
    body: {
      patchId: randomUUID(),
      baseVersion: 0,
      author: 'measure',
      operations: operationsFor(engines, plain, key.stored),
    },
    timeoutMs: CALL_TIMEOUT_MS,
  })
  if (accepted.isErr() || accepted.value.status !== 200)
    throw new Error(
      `the configuration was refused: ${JSON.stringify(accepted)}`,
    )
  await untilReady(first)
  for (let index = 1; index < options.routers; index += 1)
    await untilReady(await start())

  return {
    engines,
    plain,
    callerKey: key.text,
    routers,
    add: async () => untilReady(await start()),
    remove: (router) => {
      routers.delete(router)
      publish()
    },
    stop: async () => {
      for (const { child } of routers) child.kill('SIGTERM')
      await Promise.all([...routers].map(({ exited }) => exited))
      const standIns = [log, vmList, plain, ...engines]
      await Promise.all(standIns.map((standIn) => standIn.close()))
    },
  }
}
