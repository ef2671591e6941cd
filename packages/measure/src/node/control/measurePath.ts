import { Agent } from 'node:http'
import { build } from 'hdr-histogram-js'
import { formatAddress, type ListenAddress } from '@auburnbay/http-utils'
import { startProcess } from '@auburnbay/stand-ins'
import { BoundKind, type Figure } from '../figure.js'
import { type ChatWay, runThroughput, timeFirstByte } from './chatLoad.js'
import {
  CONCURRENCY,
  FIRST_BYTE_SAMPLES,
  FIRST_TOKEN_MS,
  FIRST_TOKEN_SHARE,
  REQUESTS_PER_ROUTER,
  WINDOW_MS,
} from './constants.js'
import { processUsage } from './processUsage.js'
import type { ControlFleet } from './startControlFleet.js'

enum Way {
  Direct = 'direct',
  Forwarder = 'forwarder',
  Router = 'router',
}

type Ways = Record<Way, ChatWay>

const US_PER_MS = 1_000
const MS_PER_S = 1_000

function percentiles(values: readonly number[]) {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  for (const value of values) histogram.recordValue(value * US_PER_MS)
  const at = (share: number): number =>
    histogram.getValueAtPercentile(share) / US_PER_MS
  return { p50: at(50), p95: at(95) }
}

async function measureFirstByte(ways: Ways): Promise<Figure[]> {
  const agent = new Agent({ keepAlive: true })
  const times: Record<Way, number[]> = { direct: [], forwarder: [], router: [] }
  // Taking turns exposes every way to the same load of the machine.
  for (let sample = 0; sample < FIRST_BYTE_SAMPLES; sample += 1)
    for (const way of Object.values(Way))
      times[way].push(await timeFirstByte(ways[way], agent, `chat-${sample}`))
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
      bound: FIRST_TOKEN_SHARE,
      baseline: Math.max(0, forwarder.p95 - direct.p95) / FIRST_TOKEN_MS,
    },
  ]
}

async function measureThroughput(ways: Ways, pid: number): Promise<Figure[]> {
  const perSecond = async (way: Way): Promise<number> =>
    ((await runThroughput(ways[way], CONCURRENCY, WINDOW_MS)) * MS_PER_S) /
    WINDOW_MS
  const direct = await perSecond(Way.Direct)
  const forwarder = await perSecond(Way.Forwarder)
  const before = processUsage(pid)
  const router = await perSecond(Way.Router)
  const cpuS = processUsage(pid).cpuS - before.cpuS
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
      bound: REQUESTS_PER_ROUTER,
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

/** Compares the way through a router with a direct call and a bare forwarder. */
export async function measurePath(fleet: ControlFleet): Promise<Figure[]> {
  const [engine] = fleet.engines
  const [router] = fleet.routers
  if (!engine || !router) throw new Error('the fleet is empty')
  const target = formatAddress(engine.address)
  const forwarder = await startProcess<{ readonly address: ListenAddress }>(
    new URL('./forwarder.js', import.meta.url).href,
    [target],
  )
  const key = fleet.callerKey
  const ways = {
    direct: { address: target, key },
    forwarder: { address: formatAddress(forwarder.ready.address), key },
    router: { address: formatAddress(router.ready.addresses.callers), key },
  }
  const { pid = 0 } = router.child
  try {
    return [
      ...(await measureFirstByte(ways)),
      ...(await measureThroughput(ways, pid)),
    ]
  } finally {
    await forwarder.stop()
  }
}
