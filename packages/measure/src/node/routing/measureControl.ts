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
import { deployments, runGrants, TRACE_MS, traceOf } from './benchRuns.js'

const TODAY_BOUND = 4_000
const TARGET_BOUND = 27_000
const PLAIN_TRACE_MS = 60_000
/** Requests a second of one router at the target size: 100,000 over 2,600. */
const TARGET_REQUESTS_PER_S = 100_000 / 2_600
const SECRET = 'measure-secret-0123456789'
const anyPort = { host: '127.0.0.1', port: 0 }

/** Bytes of one exchange, headers included. */
interface ExchangeBytes {
  /** Sent by the router that asks. */
  readonly ask: number
  /** Sent by the router that answers. */
  readonly reply: number
}

interface WireBytes {
  readonly grant: ExchangeBytes
  readonly heartbeat: ExchangeBytes
  readonly heartbeatMs: number
}

function settings() {
  const resolved = resolveSettings({
    router: { id: 'router-1', dataCentre: 'dc-1' },
    listen: { callers: anyPort, peers: anyPort, admin: anyPort },
    logService: { url: 'http://127.0.0.1:1' },
    vmList: { url: 'http://127.0.0.1:1' },
    secrets: { peer: SECRET, hint: SECRET, admin: SECRET },
  })
  return resolved._unsafeUnwrap()
}

function heartbeatOf(deployment: Deployment) {
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

function grantOf(deployment: Deployment) {
  const targets = Array.from({ length: deployment.targets }, (_, index) => ({
    id: `target-${index}`,
    weight: 1,
  }))
  const [group] = groupTargets('model', targets)
  if (!group) throw new Error('a group needs targets')
  const holder = createCreditPool({
    group,
    router: 'router-1',
    incarnation: '00000000-0000-0000-0000-000000000000/1abcdef',
  })
  for (let index = 0; index < deployment.targets; index += 1)
    holder.addInFlight(index)
  return holder.createGrantRequest(
    [{ key: '1abcdef', hint: 3, exclude: [] }],
    0,
  )
}

/** Sends real calls over loopback and counts what went over the sockets. */
async function wireBytes(deployment: Deployment): Promise<WireBytes> {
  const resolved = settings()
  const heartbeat = heartbeatOf(deployment)
  const loans = new Array<number>(deployment.targets).fill(0)
  const reply: GrantResponse = {
    status: GrantStatus.Granted,
    epoch: 122_942,
    granted: [3],
    loans,
  }
  const server = await createPeerServer(resolved, {
    onHeartbeat: () => heartbeat,
    onGrant: () => reply,
    onCollect: () => {
      throw new Error('the measure sends no such call')
    },
    onConfigurationSince: () => undefined,
  })
  const client = createPeerClient(SECRET)
  const address = `${server.address.host}:${server.address.port}`
  const count = async (
    call: () => Promise<unknown>,
  ): Promise<ExchangeBytes> => {
    await call()
    const { sentBytes, receivedBytes } = client.traffic
    await call()
    return {
      ask: client.traffic.sentBytes - sentBytes,
      reply: client.traffic.receivedBytes - receivedBytes,
    }
  }
  const grant = await count(() => client.grant(address, grantOf(deployment)))
  const beat = await count(() => client.heartbeat(address, heartbeat))
  client.close()
  await server.stop()
  return { grant, heartbeat: beat, heartbeatMs: resolved.peers.heartbeatMs }
}

function heartbeatBytesPerS(wire: WireBytes, peers: number): number {
  const { ask, reply } = wire.heartbeat
  // Each pair exchanges one heartbeat an interval, begun by either side.
  return (((ask + reply) / 2) * peers * 1_000) / wire.heartbeatMs
}

async function measureDeployment(deployment: Deployment): Promise<Figure[]> {
  const wire = await wireBytes(deployment)
  const { tally } = runGrants(deployment, traceOf(deployment, false))
  const seconds = TRACE_MS / 1_000
  const exchanges = [...tally.exchangesOf].sort((a, b) => a - b)
  const home = ((exchanges.at(-1) ?? 0) * wire.grant.reply) / seconds
  const other = ((exchanges.at(0) ?? 0) * wire.grant.ask) / seconds
  const beats = heartbeatBytesPerS(wire, deployment.routers - 1)
  const perRequest =
    exchanges.reduce((sum, count) => sum + count, 0) /
    2 /
    traceOf(deployment, false).length
  const atTarget =
    TARGET_REQUESTS_PER_S * perRequest * (wire.grant.ask + wire.grant.reply)
  const name = `routing.${deployment.name}.control`
  return [
    {
      measure: `${name}.grant-exchange`,
      value: wire.grant.ask + wire.grant.reply,
      unit: 'bytes, headers included',
    },
    {
      measure: `${name}.heartbeat-exchange`,
      value: wire.heartbeat.ask + wire.heartbeat.reply,
      unit: 'bytes, headers included',
    },
    {
      measure: `${name}.sent-by-home`,
      value: home + beats,
      unit: 'bytes a second',
      bound: TODAY_BOUND,
    },
    {
      measure: `${name}.sent-by-others`,
      value: other + beats,
      unit: 'bytes a second',
      bound: TODAY_BOUND,
    },
    {
      measure: `${name}.grants-at-2600-nodes`,
      value: atTarget,
      unit: 'bytes a second sent',
      bound: TARGET_BOUND,
    },
  ]
}

/** Plain services have short calls, of which each one asks the home. */
async function measurePlain(deployment: Deployment): Promise<Figure> {
  const wire = await wireBytes(deployment)
  const arrivals = traceOf(deployment, false, PLAIN_TRACE_MS)
  const changes = { lengthMs: PLAIN_TRACE_MS }
  const { tally } = runGrants(deployment, arrivals, {}, changes)
  const exchanges = Math.max(...tally.exchangesOf)
  const seconds = PLAIN_TRACE_MS / 1_000
  return {
    measure: `routing.${deployment.name}.control.sent-by-home`,
    value: (exchanges * wire.grant.reply) / seconds,
    unit: `bytes a second at ${Math.round(arrivals.length / seconds)} calls a second`,
    bound: TODAY_BOUND,
    knownRed: true,
  }
}

/** Bytes that routers send each other, as they go over the wire. */
export async function measureControl(): Promise<Figure[]> {
  const figures: Figure[] = []
  for (const deployment of deployments)
    figures.push(...(await measureDeployment(deployment)))
  for (const deployment of [corribPlain, asociacionPlain])
    figures.push(await measurePlain(deployment))
  return figures
}
