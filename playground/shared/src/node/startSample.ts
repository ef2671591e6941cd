import { readFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { createCallerKey } from '@auburnbay/core'
import type { DaemonAddresses } from '@auburnbay/daemon'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import { type ReadyProcess, startProcess } from '@auburnbay/stand-ins'
import { type SampleTargets, startStandIns } from './startStandIns.js'
import { createSettingsWriter } from './createSettingsWriter.js'

/** Options for {@link startSample}. */
export interface SampleOptions {
  /** Settings that the routers share. */
  readonly settingsFile: URL
  /** Configuration without targets and keys. */
  readonly configurationFile: URL
  readonly dataCentre: string
  readonly targets: readonly SampleTargets[]
  /** Customer that gets a key. */
  readonly customer: string
}

/** A running sample. */
export interface Sample {
  readonly callerKey: string
  /** Base URLs of the routers' caller listeners. */
  readonly callerUrls: readonly string[]
  /** Stops the routers, then the stand-ins; resolves with the routers' exit codes. */
  stop(): Promise<(number | null)[]>
}

type RouterProcess = ReadyProcess<{ readonly addresses: DaemonAddresses }>

const ROUTERS = ['router-1', 'router-2']
const CALL_TIMEOUT_MS = 5_000
const READY_ATTEMPTS = 100
const READY_POLL_MS = 50

const daemonUrl = new URL('bin.js', import.meta.resolve('@auburnbay/daemon'))

function listenerUrl(
  router: RouterProcess,
  listener: keyof DaemonAddresses,
): string {
  return `http://${formatAddress(router.ready.addresses[listener])}`
}

async function sendRequest(
  method: string,
  url: string,
  token: string,
  body: object,
) {
  const headers = { authorization: `Bearer ${token}` }
  const call = { method, url, headers, body, timeoutMs: CALL_TIMEOUT_MS }
  const response = await requestJson(call)
  if (response.isErr() || response.value.status !== 200)
    throw new Error(`${method} ${url} failed: ${JSON.stringify(response)}`)
}

async function waitUntilReady(baseUrl: string): Promise<void> {
  const call = { method: 'GET', timeoutMs: CALL_TIMEOUT_MS }
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    const response = await requestJson({ ...call, url: `${baseUrl}/readyz` })
    if (response.isOk() && response.value.status === 200) return
    await sleep(READY_POLL_MS)
  }
  throw new Error(`the router at ${baseUrl} did not become ready`)
}

function createInitialPatch(
  options: SampleOptions,
  targets: readonly { id: string; service: string; address: string }[],
  stored: object,
) {
  const text = readFileSync(options.configurationFile, 'utf8')
  const sections = Object.entries(JSON.parse(text) as Record<string, object>)
  const { customer, dataCentre } = options
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

/** Starts stand-ins and two routers and applies configuration version 1. */
export async function startSample(options: SampleOptions): Promise<Sample> {
  const standIns = await startStandIns(options.targets)
  const settingsWriter = createSettingsWriter(options.settingsFile, standIns)
  const routers: RouterProcess[] = []
  for (const id of ROUTERS) {
    const args = ['--settings', settingsWriter.write(id)]
    routers.push(await startProcess(daemonUrl.href, args))
  }
  const vms = routers.map((router, index) => ({
    id: ROUTERS[index],
    role: 'router',
    address: formatAddress(router.ready.addresses.peers),
    dataCentre: options.dataCentre,
    state: 'live',
  }))
  await sendRequest('PUT', `${standIns.vmList}/vms`, '', vms)
  const key = createCallerKey(options.customer, 'first')
  const operations = createInitialPatch(options, standIns.targets, key.stored)
  const body = { baseVersion: 0, author: 'sample', operations }
  const [first] = routers
  if (!first) throw new Error('no router was started')
  const url = `${listenerUrl(first, 'admin')}/config/patches`
  await sendRequest('POST', url, settingsWriter.adminToken, body)
  const callerUrls = routers.map((router) => listenerUrl(router, 'callers'))
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
