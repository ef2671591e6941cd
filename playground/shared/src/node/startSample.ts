import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { createCallerKey } from '@auburnbay/core'
import type { DaemonAddresses } from '@auburnbay/daemon'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import { type ReadyProcess, startProcess } from '@auburnbay/stand-ins'
import { type SampleTargets, startStandIns } from './startStandIns.js'
import { createSettingsWriter } from './writeRouterSettings.js'

/** A deployment as its folder describes it. */
export interface SampleDeployment {
  /** Settings that the routers share. */
  readonly settingsFile: URL
  /** The configuration without targets and keys. */
  readonly configurationFile: URL
  readonly dataCentre: string
  readonly targets: readonly SampleTargets[]
  /** Customer that gets a key. */
  readonly customer: string
}

/** A running sample. */
export interface Sample {
  readonly callerKey: string
  /** URLs of the routers' listeners for callers. */
  readonly callerUrls: readonly string[]
  /** Stops routers, then stand-ins; returns the routers' exit codes. */
  stop(): Promise<(number | null)[]>
}

type RouterProcess = ReadyProcess<{ readonly addresses: DaemonAddresses }>

const ROUTERS = ['router-1', 'router-2']
const CALL_TIMEOUT_MS = 5_000
const READY_TRIES = 100
const READY_PAUSE_MS = 50

const daemonUrl = new URL('bin.js', import.meta.resolve('@auburnbay/daemon'))

function urlOf(router: RouterProcess, part: keyof DaemonAddresses): string {
  return `http://${formatAddress(router.ready.addresses[part])}`
}

async function send(method: string, url: string, token: string, body: object) {
  const headers = { authorization: `Bearer ${token}` }
  const call = { method, url, headers, body, timeoutMs: CALL_TIMEOUT_MS }
  const reply = await requestJson(call)
  if (reply.isErr() || reply.value.status !== 200)
    throw new Error(`${method} ${url} failed: ${JSON.stringify(reply)}`)
}

async function waitUntilReady(baseUrl: string): Promise<void> {
  const call = { method: 'GET', timeoutMs: CALL_TIMEOUT_MS }
  for (let tries = 0; tries < READY_TRIES; tries += 1) {
    const reply = await requestJson({ ...call, url: `${baseUrl}/readyz` })
    if (reply.isOk() && reply.value.status === 200) return
    await sleep(READY_PAUSE_MS)
  }
  throw new Error(`the router at ${baseUrl} did not become ready`)
}

function firstPatch(
  deployment: SampleDeployment,
  targets: readonly { id: string; service: string; address: string }[],
  stored: object,
) {
  const text = readFileSync(deployment.configurationFile, 'utf8')
  const sections = Object.entries(JSON.parse(text) as Record<string, object>)
  const { customer, dataCentre } = deployment
  return [
    ...sections.map(([name, value]) => ({
      op: 'add',
      path: `/${name}`,
      value,
    })),
    {
      op: 'add',
      path: `/customers/${customer}/keys`,
      value: { first: stored },
    },
    ...targets.map(({ id, service, address }) => ({
      op: 'add',
      path: `/targets/${id}`,
      value: { service, address, dataCentre },
    })),
  ]
}

/** Starts a sample: stand-ins, two routers, configuration version 1. */
export async function startSample(
  deployment: SampleDeployment,
): Promise<Sample> {
  const standIns = await startStandIns(deployment.targets)
  const writer = createSettingsWriter(deployment.settingsFile, standIns)
  const routers: RouterProcess[] = []
  for (const id of ROUTERS) {
    const args = ['--settings', writer.write(id)]
    routers.push(await startProcess(daemonUrl.href, args))
  }
  const vms = routers.map((router, index) => ({
    id: ROUTERS[index],
    role: 'router',
    address: formatAddress(router.ready.addresses.peers),
    dataCentre: deployment.dataCentre,
    state: 'live',
  }))
  await send('PUT', `${standIns.vmList}/vms`, '', vms)
  const key = createCallerKey(deployment.customer, 'first')
  const operations = firstPatch(deployment, standIns.targets, key.stored)
  const body = { baseVersion: 0, author: 'sample', operations }
  const [first] = routers
  if (!first) throw new Error('no router was started')
  const url = `${urlOf(first, 'admin')}/config/patches`
  await send('POST', url, writer.adminToken, body)
  const callerUrls = routers.map((router) => urlOf(router, 'callers'))
  await Promise.all(callerUrls.map(waitUntilReady))
  return {
    callerKey: key.text,
    callerUrls,
    stop: async () => {
      const codes = await Promise.all(routers.map((router) => router.stop()))
      await standIns.stop()
      return codes
    },
  }
}
