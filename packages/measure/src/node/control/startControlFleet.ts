import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createCallerKey } from '@auburnbay/core'
import type { DaemonAddresses, Settings } from '@auburnbay/daemon'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import {
  createEngine,
  createLogService,
  createVmList,
  type EngineStandIn,
  type ReadyProcess,
  startProcess,
  type VmListStandIn,
  createRouterSecrets,
  createRouterSettings,
} from '@auburnbay/stand-ins'
import { ENGINES } from './constants.js'
import { createStatsReader, type StatsReader } from './createStatsReader.js'

type RouterProcess = ReadyProcess<{ readonly addresses: DaemonAddresses }>

/** Router processes and the stand-ins that they need. */
export interface ControlFleet {
  readonly routers: readonly RouterProcess[]
  readonly engines: readonly EngineStandIn[]
  readonly callerKey: string
  stop(): Promise<void>
}

const PURPOSE = 'measure'
const ADMIN_TOKEN = createRouterSecrets(PURPOSE).admin
const METRICS_HOST = { host: '127.0.0.1' }
const METRICS_INTERVAL_MS = 100
const CALL_TIMEOUT_MS = 10_000
const daemonUrl = new URL('bin.js', import.meta.resolve('@auburnbay/daemon'))

function publishRouters(
  vmList: VmListStandIn,
  routers: readonly RouterProcess[],
): void {
  vmList.vms = routers.map(({ ready }, index) => ({
    id: `router-${index + 1}`,
    role: 'router',
    address: formatAddress(ready.addresses.peers),
    dataCentre: 'dc-1',
    state: 'live',
  }))
}

async function applyConfiguration(
  adminAddress: string,
  engines: readonly EngineStandIn[],
): Promise<string> {
  const key = createCallerKey('corrib', 'measure')
  const add = (path: string, value: unknown) => ({ op: 'add', path, value })
  const service = 'briefing'
  const operations = [
    add('/customers/corrib', { keys: { measure: key.stored } }),
    add('/services/briefing', { kind: 'model' }),
    ...engines.map((engine, index) => {
      const address = formatAddress(engine.address)
      const value = { service, address, dataCentre: 'dc-1' }
      return add(`/targets/engine-${index + 1}`, value)
    }),
  ]
  const response = await requestJson({
    method: 'POST',
    url: `http://${adminAddress}/config/patches`,
    headers: { authorization: `Bearer ${ADMIN_TOKEN}` },
    body: { baseVersion: 0, operations },
    timeoutMs: CALL_TIMEOUT_MS,
  })
  if (response.isErr() || response.value.status !== 200)
    throw new Error(
      `the router rejected the configuration: ${JSON.stringify(response)}`,
    )
  return key.text
}

/** Starts `count` routers. Only the first reports to `stats`, at a shorter interval than the default. */
export async function startControlFleet(
  count: number,
  stats: StatsReader,
): Promise<ControlFleet> {
  const log = await createLogService()
  const vmList = await createVmList()
  const engines: EngineStandIn[] = []
  for (let index = 0; index < ENGINES; index += 1)
    engines.push(await createEngine({ words: 1 }))
  // Receives the metrics of the other routers, as in a deployment, but is not evaluated.
  const ignoredStats = await createStatsReader()
  const directory = mkdtempSync(join(tmpdir(), 'auburnbay-measure-'))

  function writeSettings(id: string, isFirst: boolean): string {
    const metrics = isFirst
      ? { ...METRICS_HOST, port: stats.port, everyMs: METRICS_INTERVAL_MS }
      : { ...METRICS_HOST, port: ignoredStats.port }
    const settings: Settings = {
      ...createRouterSettings({ id, log, vmList, purpose: PURPOSE }),
      metrics,
    }
    const path = join(directory, `${id}.json`)
    writeFileSync(path, JSON.stringify(settings))
    return path
  }

  const routers: RouterProcess[] = []
  for (let index = 0; index < count; index += 1) {
    const path = writeSettings(`router-${index + 1}`, index === 0)
    routers.push(await startProcess(daemonUrl.href, ['--settings', path]))
  }
  const [first] = routers
  if (!first) throw new Error('no router was started')
  publishRouters(vmList, routers)
  const adminAddress = formatAddress(first.ready.addresses.admin)
  return {
    routers,
    engines,
    callerKey: await applyConfiguration(adminAddress, engines),
    stop: async () => {
      await Promise.all(routers.map((router) => router.stop()))
      ignoredStats.close()
      const standIns = [log, vmList, ...engines]
      await Promise.all(standIns.map((standIn) => standIn.close()))
    },
  }
}
