import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import type { DaemonAddresses } from '@auburnbay/daemon'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import { type ReadyProcess, startProcess } from './childProcess.js'
import { createCorribConfiguration } from './corribConfiguration.js'
import { sampleSecrets, writeRouterSettings } from './settings.js'
import { startStandIns } from './startStandIns.js'
import { streamChat } from './streamChat.js'

/** Milliseconds that a caller reads before the next question. */
const READING_MS = 500

interface RouterReady {
  readonly addresses: DaemonAddresses
}

const CALL_TIMEOUT_MS = 5_000
const READY_TRIES = 100
const READY_PAUSE_MS = 50

const daemonUrl = new URL('bin.js', import.meta.resolve('@auburnbay/daemon'))

function say(text: string): void {
  process.stdout.write(`${text}\n`)
}

function url(router: ReadyProcess<RouterReady>, part: keyof DaemonAddresses) {
  return `http://${formatAddress(router.ready.addresses[part])}`
}

async function waitUntilReady(baseUrl: string): Promise<void> {
  for (let tries = 0; tries < READY_TRIES; tries += 1) {
    const reply = await requestJson({
      method: 'GET',
      url: `${baseUrl}/readyz`,
      timeoutMs: CALL_TIMEOUT_MS,
    })
    if (reply.isOk() && reply.value.status === 200) return
    await sleep(READY_PAUSE_MS)
  }
  throw new Error(`the router at ${baseUrl} did not become ready`)
}

const standIns = await startStandIns()
const routers: ReadyProcess<RouterReady>[] = []
for (const id of ['router-1', 'router-2']) {
  const path = writeRouterSettings(id, standIns)
  const args = ['--settings', path]
  routers.push(await startProcess<RouterReady>(daemonUrl.href, args))
}
await requestJson({
  method: 'PUT',
  url: `${standIns.vmList}/vms`,
  body: routers.map((router, index) => ({
    id: `router-${index + 1}`,
    role: 'router',
    address: formatAddress(router.ready.addresses.peers),
    dataCentre: 'eu-west-1a',
    state: 'live',
  })),
  timeoutMs: CALL_TIMEOUT_MS,
})

const sample = createCorribConfiguration(standIns.engines, standIns.charts)
const [first] = routers
if (!first) throw new Error('no router was started')
const accepted = await requestJson({
  method: 'POST',
  url: `${url(first, 'admin')}/config/patches`,
  headers: { authorization: `Bearer ${sampleSecrets.admin}` },
  body: {
    patchId: randomUUID(),
    baseVersion: 0,
    author: 'playground',
    operations: sample.operations,
  },
  timeoutMs: CALL_TIMEOUT_MS,
})
if (accepted.isErr() || accepted.value.status !== 200)
  throw new Error(`the configuration was refused: ${JSON.stringify(accepted)}`)
say('Configuration version 1 is in force.')

for (const [index, router] of routers.entries()) {
  const callers = url(router, 'callers')
  await waitUntilReady(callers)
  const prompt = index === 0 ? 'Ice in Baffin Bay?' : 'And tomorrow?'
  await sleep(READING_MS)
  const answer = await streamChat(callers, sample.callerKey, prompt)
  say(
    `router-${index + 1}: ${answer.status} from ${answer.target}, cache ${answer.cache}: ${answer.text}`,
  )
}

const codes = await Promise.all(routers.map((router) => router.stop()))
await standIns.stop()
say(`Routers stopped with exit codes ${codes.join(' and ')}.`)
process.exitCode = codes.every((code) => code === 0) ? 0 : 1
