import { Agent } from 'node:http'
import { build } from 'hdr-histogram-js'
import { formatAddress, type ListenAddress } from '@auburnbay/http-utils'
import { startProcess } from '@auburnbay/stand-ins'
import { BoundKind, type Figure } from '../figure.js'
import {
  type ChatEndpoint,
  runThroughput,
  measureTimeToFirstByte,
} from './chatLoad.js'
import {
  CONCURRENCY,
  FIRST_BYTE_SAMPLES,
  FIRST_TOKEN_MS,
  MAX_FIRST_TOKEN_SHARE,
  ROUTER_REQUESTS_PER_S,
  WINDOW_MS,
} from './constants.js'
import { readProcessUsage } from './readProcessUsage.js'
import type { ControlFleet } from './startControlFleet.js'

/** Path of a chat request to the engine. */
enum RequestPath {
  Direct = 'direct',
  Forwarder = 'forwarder',
  Router = 'router',
}

type Endpoints = Record<RequestPath, ChatEndpoint>

const US_PER_MS = 1_000
const MS_PER_S = 1_000

function percentiles(values: readonly number[]) {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(value * US_PER_MS)
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / US_PER_MS
  return { p50: at(50), p95: at(95) }
}

async function measureFirstByte(endpoints: Endpoints): Promise<Figure[]> {
  const agent = new Agent({ keepAlive: true })
  const times: Record<RequestPath, number[]> = {
    direct: [],
    forwarder: [],
    router: [],
  }
  // Interleaved, so that the load of the machine affects every path alike.
  for (let sample = 0; sample < FIRST_BYTE_SAMPLES; sample += 1)
    for (const path of Object.values(RequestPath))
      times[path].push(
        await measureTimeToFirstByte(endpoints[path], agent, `chat-${sample}`),
      )
  agent.destroy()
  const direct = percentiles(times.direct)
  const forwarder = percentiles(times.forwarder)
  const router = percentiles(times.router)
  const ratio = { unit: 'ratio', timing: true }
  return [
    {
      ...ratio,
      measure: 'control.first-byte.router-to-direct.p50',
      value: router.p50 / direct.p50,
      baseline: forwarder.p50 / direct.p50,
    },
    {
      ...ratio,
      measure: 'control.first-byte.router-to-forwarder.p50',
      value: router.p50 / forwarder.p50,
    },
    {
      measure: 'control.first-byte.added.p95',
      value: Math.max(0, router.p95 - direct.p95) / FIRST_TOKEN_MS,
      unit: 'share of 500 ms',
      timing: true,
      bound: MAX_FIRST_TOKEN_SHARE,
      baseline: Math.max(0, forwarder.p95 - direct.p95) / FIRST_TOKEN_MS,
    },
  ]
}

async function measureThroughput(
  endpoints: Endpoints,
  pid: number,
): Promise<Figure[]> {
  const perSecond = async (path: RequestPath): Promise<number> =>
    ((await runThroughput(endpoints[path], CONCURRENCY, WINDOW_MS)) *
      MS_PER_S) /
    WINDOW_MS
  const direct = await perSecond(RequestPath.Direct)
  const forwarder = await perSecond(RequestPath.Forwarder)
  const before = readProcessUsage(pid)
  const router = await perSecond(RequestPath.Router)
  const cpuS = readProcessUsage(pid).cpuS - before.cpuS
  const requests = (router * WINDOW_MS) / MS_PER_S
  return [
    {
      measure: 'control.throughput.router-to-direct',
      value: router / direct,
      unit: 'ratio',
      timing: true,
      baseline: forwarder / direct,
    },
    {
      measure: 'control.throughput.router-to-forwarder',
      value: router / forwarder,
      unit: 'ratio',
      timing: true,
    },
    {
      measure: 'control.throughput.router',
      value: router,
      unit: 'requests/s',
      timing: true,
      bound: ROUTER_REQUESTS_PER_S,
      boundKind: BoundKind.AtLeast,
    },
    {
      measure: 'control.cpu.per-request',
      value: (cpuS / requests) * MS_PER_S,
      unit: 'ms of a core',
      timing: true,
    },
  ]
}

/** Compares the path through a router with a direct call and a plain forwarder. */
export async function measurePath(fleet: ControlFleet): Promise<Figure[]> {
  const [engine] = fleet.engines
  const [router] = fleet.routers
  if (!engine || !router)
    throw new Error('the fleet has no engine or no router')
  const target = formatAddress(engine.address)
  const forwarder = await startProcess<{ readonly address: ListenAddress }>(
    new URL('./forwarder.js', import.meta.url).href,
    [target],
  )
  const key = fleet.callerKey
  const endpoints = {
    direct: { address: target, key },
    forwarder: { address: formatAddress(forwarder.ready.address), key },
    router: { address: formatAddress(router.ready.addresses.callers), key },
  }
  const { pid = 0 } = router.child
  try {
    return [
      ...(await measureFirstByte(endpoints)),
      ...(await measureThroughput(endpoints, pid)),
    ]
  } finally {
    await forwarder.stop()
  }
}
