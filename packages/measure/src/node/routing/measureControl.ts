import {
  createCreditPool,
  type GrantResponse,
  GrantStatus,
  groupTargets,
} from '@auburnbay/core'
import {
  createPeerClient,
  createPeerServer,
  resolveSettings,
} from '@auburnbay/daemon'
import type { Figure } from '../figure.js'
import {
  asociacionPlain,
  corribPlain,
  CUSTOMER_SHARES,
  type Deployment,
} from './bench/deployment.js'
import {
  deployments,
  runGrantStrategy,
  TRACE_MS,
  createRoutingTrace,
} from './routingRuns.js'

/** Bytes a second that a router may send at the current fleet size. */
const MAX_BYTES_PER_S = 4_000
const MAX_BYTES_PER_S_AT_PLANNED_SIZE = 27_000
const PLAIN_TRACE_MS = 60_000
/** Requests a second of one router at the planned size: 100,000 over 2,600 routers. */
const REQUESTS_PER_S_AT_PLANNED_SIZE = 100_000 / 2_600
const SECRET = 'measure-secret-0123456789'
const ANY_PORT = { host: '127.0.0.1', port: 0 }

/** Bytes of one exchange, headers included. */
interface ExchangeBytes {
  /** Bytes from the router that sends the request. */
  readonly request: number
  /** Bytes from the router that responds. */
  readonly response: number
}

interface WireBytes {
  readonly grant: ExchangeBytes
  readonly heartbeat: ExchangeBytes
  readonly heartbeatMs: number
}

function createSettings() {
  const resolved = resolveSettings({
    router: { id: 'router-1', dataCentre: 'dc-1' },
    listen: { callers: ANY_PORT, peers: ANY_PORT, admin: ANY_PORT },
    logService: { url: 'http://127.0.0.1:1' },
    vmList: { url: 'http://127.0.0.1:1' },
    secrets: { peer: SECRET, hint: SECRET, admin: SECRET },
  })
  return resolved._unsafeUnwrap()
}

function createHeartbeat(deployment: Deployment) {
  const targets: Record<string, number> = {}
  for (let index = 0; index < deployment.targets; index += 1)
    targets[`target-${index}`] = 3
  const customers: Record<string, number> = {}
  for (const index of CUSTOMER_SHARES.keys()) customers[`customer-${index}`] = 3
  return {
    router: 'router-1',
    incarnation: '00000000-0000-0000-0000-000000000000',
    dataCentre: 'dc-1',
    configurationVersion: 1_000,
    stopping: false,
    digest: { targets, customers, started: customers },
  }
}

function createSampleGrantRequest(deployment: Deployment) {
  const targets = Array.from({ length: deployment.targets }, (_, index) => ({
    id: `target-${index}`,
    weight: 1,
  }))
  const [group] = groupTargets('model', targets)
  if (!group) throw new Error('a group needs targets')
  const creditPool = createCreditPool({
    group,
    router: 'router-1',
    incarnation: '00000000-0000-0000-0000-000000000000/1abcdef',
  })
  for (let index = 0; index < deployment.targets; index += 1)
    creditPool.addInFlight(index)
  return creditPool.createGrantRequest(
    [{ key: '1abcdef', hint: 3, exclude: [] }],
    0,
  )
}

/** Sends requests over loopback and counts the bytes on the sockets. */
async function measureWireBytes(deployment: Deployment): Promise<WireBytes> {
  const settings = createSettings()
  const heartbeat = createHeartbeat(deployment)
  const loans = new Array<number>(deployment.targets).fill(0)
  const response: GrantResponse = {
    status: GrantStatus.Granted,
    epoch: 122_942,
    granted: [3],
    loans,
  }
  const server = await createPeerServer(settings, {
    handleHeartbeat: () => heartbeat,
    handleGrantRequest: () => response,
    handleCollectRequest: () => {
      throw new Error('unexpected collect request')
    },
    handleTransferRequest: () => undefined,
  })
  const client = createPeerClient(SECRET)
  const address = `${server.address.host}:${server.address.port}`
  const countBytes = async (
    send: () => Promise<unknown>,
  ): Promise<ExchangeBytes> => {
    // The first exchange opens the connection and is not counted.
    await send()
    const { sentBytes, receivedBytes } = client.traffic
    await send()
    return {
      request: client.traffic.sentBytes - sentBytes,
      response: client.traffic.receivedBytes - receivedBytes,
    }
  }
  const grant = await countBytes(() =>
    client.grant(address, createSampleGrantRequest(deployment)),
  )
  const heartbeatBytes = await countBytes(() =>
    client.heartbeat(address, heartbeat),
  )
  client.close()
  await server.stop()
  return {
    grant,
    heartbeat: heartbeatBytes,
    heartbeatMs: settings.peers.heartbeatMs,
  }
}

function heartbeatBytesPerS(wire: WireBytes, peers: number): number {
  const { request, response } = wire.heartbeat
  // Each pair exchanges one heartbeat an interval, sent by either side.
  return (((request + response) / 2) * peers * 1_000) / wire.heartbeatMs
}

async function measureDeployment(deployment: Deployment): Promise<Figure[]> {
  const wire = await measureWireBytes(deployment)
  const { tally } = runGrantStrategy(
    deployment,
    createRoutingTrace(deployment, false),
  )
  const seconds = TRACE_MS / 1_000
  const exchanges = [...tally.exchangesByRouter].sort((a, b) => a - b)
  const coordinatorRate =
    ((exchanges.at(-1) ?? 0) * wire.grant.response) / seconds
  const otherRate = ((exchanges.at(0) ?? 0) * wire.grant.request) / seconds
  const heartbeatRate = heartbeatBytesPerS(wire, deployment.routers - 1)
  const exchangesPerRequest =
    exchanges.reduce((sum, count) => sum + count, 0) /
    2 /
    createRoutingTrace(deployment, false).length
  const rateAtPlannedSize =
    REQUESTS_PER_S_AT_PLANNED_SIZE *
    exchangesPerRequest *
    (wire.grant.request + wire.grant.response)
  const name = `routing.${deployment.name}.control`
  return [
    {
      measure: `${name}.grant-exchange`,
      value: wire.grant.request + wire.grant.response,
      unit: 'bytes, headers included',
    },
    {
      measure: `${name}.heartbeat-exchange`,
      value: wire.heartbeat.request + wire.heartbeat.response,
      unit: 'bytes, headers included',
    },
    {
      measure: `${name}.sent-by-home`,
      value: coordinatorRate + heartbeatRate,
      unit: 'bytes a second',
      bound: MAX_BYTES_PER_S,
    },
    {
      measure: `${name}.sent-by-others`,
      value: otherRate + heartbeatRate,
      unit: 'bytes a second',
      bound: MAX_BYTES_PER_S,
    },
    {
      measure: `${name}.grants-at-2600-nodes`,
      value: rateAtPlannedSize,
      unit: 'bytes a second sent',
      bound: MAX_BYTES_PER_S_AT_PLANNED_SIZE,
    },
  ]
}

/** Measures the grant traffic of a plain service, whose short requests each need a grant. */
async function measurePlain(deployment: Deployment): Promise<Figure> {
  const wire = await measureWireBytes(deployment)
  const arrivals = createRoutingTrace(deployment, false, PLAIN_TRACE_MS)
  const overrides = { lengthMs: PLAIN_TRACE_MS }
  const { tally } = runGrantStrategy(deployment, arrivals, {}, overrides)
  const exchanges = Math.max(...tally.exchangesByRouter)
  const seconds = PLAIN_TRACE_MS / 1_000
  return {
    measure: `routing.${deployment.name}.control.sent-by-home`,
    value: (exchanges * wire.grant.response) / seconds,
    unit: `bytes a second at ${Math.round(arrivals.length / seconds)} calls a second`,
    bound: MAX_BYTES_PER_S,
    knownRed: true,
  }
}

/** Measures the bytes on the wire between routers. */
export async function measureControl(): Promise<Figure[]> {
  const figures: Figure[] = []
  for (const deployment of deployments)
    figures.push(...(await measureDeployment(deployment)))
  for (const deployment of [corribPlain, asociacionPlain])
    figures.push(await measurePlain(deployment))
  return figures
}
