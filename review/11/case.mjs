// Four model replicas crash within two seconds, and each is back after 2 s. Their route serves nothing afterwards.
import {
  call,
  sleep,
  startFleet,
  waitFor,
  readinessOf,
} from '../lib-3/fleet.mjs'
import { hasTrouble, runCase } from '../lib-3/record.mjs'

const HOST = 'a.example'
const ROUTERS = 3
const REPLICAS = 4
const FIRST_REPLICAS = 4
/** A draft: 90 events in 9 s, within the route's time of 15 s. */
const EVENTS = 90
/** The part of each prompt that all requests of the route share. */
const SYSTEM_PART = '5c1e07a2:800'
/** Clients come in waves: 32 requests in 4 s, every 20 s. */
const WAVE = { requests: 32, gapMs: 125, everyMs: 20_000 }
/** Each entry of srv_crash: one of four replicas, down for 2 s. */
const CRASH = { gapMs: 500, downMs: 2_000 }
/** Longer than contact-ms (3 s) after the last replica is back, no disruption is left. */
const STEADY_MS = 5_000

const hex = () =>
  Math.floor(Math.random() * 2 ** 32)
    .toString(16)
    .padStart(8, '0')

const FIRST_ROUTE = {
  name: 'status',
  host: HOST,
  'path-prefix': '/status/',
  'route-kind': 'idempotent',
  'timeout-ms': 1_500,
  'target-latency-ms': 121,
  priority: 1,
  service: 'records',
  'max-attempts': 2,
  'anonymous-access': false,
  'session-affinity': false,
  'stream-resumption': false,
}
const LATER_ROUTE = {
  name: 'draft',
  host: HOST,
  'path-prefix': '/draft/',
  'route-kind': 'streaming',
  'timeout-ms': 15_000,
  'target-latency-ms': 1_000,
  priority: 1,
  service: 'writer',
  'max-attempts': 1,
  'anonymous-access': false,
  'session-affinity': true,
  'stream-resumption': false,
  'target-gap-ms': 400,
}

await runCase(new URL('.', import.meta.url), async ({ write, onFleet }) => {
  const fleet = await startFleet({ routers: ROUTERS })
  onFleet(fleet)
  const routers = Array.from({ length: ROUTERS }, (_, i) =>
    fleet.startRouter(i),
  )
  const startWriter = () =>
    fleet.startReplica({
      id: `i-${hex()}`,
      service: 'writer',
      slots: 64,
      workMs: 100,
      eventMs: 100,
    })
  const writers = []
  for (let i = 0; i < REPLICAS; i += 1) writers.push(await startWriter())
  for (let i = 0; i < FIRST_REPLICAS; i += 1)
    await fleet.startReplica({ id: `i-${hex()}`, service: 'records' })

  function configure(version, routes) {
    fleet.store.configure({
      version,
      routes,
      services: [
        { name: 'records', 'health-path': '/health', 'connection-limit': 110 },
        { name: 'writer', 'health-path': '/health', 'connection-limit': 370 },
      ],
      limits: fleet.limits,
      tenants: [{ name: 'tenant-a', 'api-keys': ['key-a'] }],
    })
    write(`version ${version}: ${routes.map(({ name }) => name).join(', ')}`)
  }
  configure(1, [FIRST_ROUTE])
  const areReady = async () =>
    (await Promise.all(routers.map(readinessOf))).every((s) => s === 200)
  if (!(await waitFor(areReady, 20_000))) throw new Error('no router is ready')
  configure(2, [FIRST_ROUTE, LATER_ROUTE])
  await sleep(3_000)

  const results = []
  const router = () => routers[Math.floor(Math.random() * ROUTERS)]
  async function send(route, options) {
    const to = router()
    const result = await call(to, { host: HOST, key: 'key-a', ...options })
    const isServed = result.status === 200 && result.outcome === 'complete'
    const answer = `${result.status} ${result.outcome} after ${result.ms} ms`
    const why = isServed || result.status === 200 ? '' : ` ${result.body}`
    write(
      `${route} ${result.attempt} at router ${to.index + 1}: ${answer}${why}`,
    )
    results.push({ route, isServed, sentAtMs: result.sentAtMs })
  }
  const sendFirst = () =>
    send('status', { path: `/status/${hex()}`, deadlineMs: 1_500 })
  const sendDraft = () =>
    send('draft', {
      path: `/draft/${hex()}`,
      method: 'POST',
      deadlineMs: 15_000,
      headers: {
        'X-Model': 'm',
        'X-Token-Usage': '1200,450',
        'X-Prompt-Prefix': `${SYSTEM_PART},${hex()}:300,${hex()}:100`,
        'X-Events': String(EVENTS),
      },
    })
  async function sendWave() {
    const sent = []
    for (let i = 0; i < WAVE.requests; i += 1) {
      sent.push(sendDraft())
      await sleep(WAVE.gapMs)
    }
    await Promise.all(sent)
  }

  const first = setInterval(() => void sendFirst(), 500)
  const startedAtMs = performance.now()
  const waves = [sendWave()]
  const nextWave = async (i) => {
    await sleep(startedAtMs + i * WAVE.everyMs - performance.now())
    waves.push(sendWave())
  }
  await nextWave(1)
  await sleep(CRASH.gapMs)
  let backAtMs = performance.now()
  if (hasTrouble) {
    const returns = []
    for (const { child, id } of writers) {
      write(`replica ${id} crashes`)
      child.kill('SIGKILL')
      returns.push(
        sleep(CRASH.downMs).then(async () => {
          const { id: newId } = await startWriter()
          write(`replica ${newId} is started in its place`)
        }),
      )
      await sleep(CRASH.gapMs)
    }
    await Promise.all(returns)
    backAtMs = performance.now()
  }
  await nextWave(2)
  await nextWave(3)
  await Promise.all(waves)
  clearInterval(first)

  for (const { event, replica, attempt, path } of fleet.runs)
    if (event === 'run') write(`run of ${attempt} ${path} at ${replica}`)
  const steadyAtMs = backAtMs + STEADY_MS
  const share = (name) => {
    const sent = results.filter(
      ({ route, sentAtMs }) => route === name && sentAtMs > steadyAtMs,
    )
    const served = sent.filter(({ isServed }) => isServed).length
    write(`steady state: ${name}: ${served} of ${sent.length} served`)
    return { count: sent.length, share: served / sent.length }
  }
  const later = share('draft')
  const earlier = share('status')
  if (later.count < 20) throw new Error('fewer than 20 requests to judge')
  return later.share < earlier.share / 4
})
