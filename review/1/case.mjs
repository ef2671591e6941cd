// A router that reaches no replica relays streams through a peer. When the peer
// ends, it goes on with them at replicas of another software version.
import { KeptConnection, send } from '../lib/client.mjs'
import { configuration, route } from '../lib/configuration.mjs'
import { sleep, startFleet } from '../lib/fleet.mjs'
import { runCase, TROUBLE } from '../lib/record.mjs'
import { startReplica } from '../lib/replica.mjs'

const VERSIONS = ['v1', 'v2', 'v3']
const REPLICAS_PER_VERSION = 3
/** Clients of the other router, with whose requests it keeps connections to replicas. */
const OTHER_CLIENTS = 140
const FEWER_CLIENTS = 8
const ROUTER_CLIENTS = 40
/** Time from the end of the partition to the end of the peer. */
const RUN_ON_MS = 2_000
const STREAMS = 16
const EVENTS = 90
const EVENT_MS = 100
const SHORT_EVENTS = 3
const SHORT_EVENT_MS = 20
/** "for seconds" */
const PARTITION_MS = 3_000
/** Time without the killed process: `node_kill`, for_s = 3.5. */
const DOWN_MS = 3_000
/** "More than two streams" */
const MAX_STREAMS = 2
const QUIET_MS = 500
const WARM_UP_MS = 11_000

await runCase(import.meta.url, async (record, onEnd) => {
  const fleet = await startFleet({ routers: 2 })
  onEnd(() => fleet.close())
  const [router, peer] = fleet.routers

  async function respond({ req, res, signed, run }, version) {
    const isShort = run.url.startsWith('/tags/')
    const [events, eventMs] = isShort
      ? [SHORT_EVENTS, SHORT_EVENT_MS]
      : [EVENTS, EVENT_MS]
    const from = Number(run.lastEventId ?? 0)
    record.line(`${run.id} runs at ${run.replica} (${version}) from ${from}`)
    res.writeHead(200, { ...signed, 'Content-Type': 'text/event-stream' })
    res.flushHeaders()
    for (let event = from + 1; event <= events && !res.destroyed; event += 1) {
      res.write(`id: ${event}\ndata: ${version}\n\n`)
      await sleep(eventMs)
    }
    res.end()
    return true
  }

  const replicas = []
  for (const version of VERSIONS)
    for (let i = 0; i < REPLICAS_PER_VERSION; i += 1) {
      const id = `i-${version}-${i}`
      const host = `${fleet.net}.${100 + replicas.length}`
      const replica = await startReplica(host, id, {
        service: 'engines',
        slots: 64,
        version,
        respond: (call) => respond(call, version),
      })
      onEnd(() => replica.close())
      replicas.push(replica)
      fleet.store.put('keyed.servers', id, replica.entry)
    }
  const streaming = {
    'route-kind': 'streaming',
    'timeout-ms': 12_000,
    'target-latency-ms': 400,
    'target-gap-ms': 300,
  }
  fleet.store.put(
    'keyed.op',
    'config',
    configuration(1, [
      route('summaries', '/summaries/', 'engines', {
        ...streaming,
        'stream-resumption': true,
        'max-attempts': 2,
      }),
      route('tags', '/tags/', 'engines', { ...streaming, 'max-attempts': 1 }),
    ]),
  )
  await fleet.waitUntilReady()

  let clients = OTHER_CLIENTS
  async function sendTags(at, index) {
    const connection = new KeptConnection()
    while (index < clients) {
      const { id, status, error } = await connection.send(at, '/tags/1', {
        method: 'POST',
        body: 'tag',
      })
      record.line(`${id} tag by ${at.name}: ${status ?? error}`)
      await sleep(100 + 100 * Math.random())
    }
    connection.close()
  }
  const others = Array.from({ length: OTHER_CLIENTS }, (_, i) =>
    sendTags(peer, i),
  )

  async function readStream(index) {
    // A client comes again after a refusal, as it says when.
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const response = await send(router, `/summaries/${index}`, {
        method: 'POST',
        body: `prompt ${index}`,
        headers: { 'X-Deadline-Ms': '12000' },
      })
      const { id, status, text, complete, headers } = response
      const versions = [...new Set(text.match(/v[123]/g))]
      const ids = [...text.matchAll(/id: (\d+)/g)].map(([, event]) => event)
      record.line(
        `${id} stream ${index}: ${status ?? response.error}, ${ids.length} events, complete ${complete ?? false}, versions ${versions.join()}`,
      )
      if (status !== 503) return versions
      await sleep(1_000 * Number(headers['retry-after'] ?? 0.5))
    }
    return []
  }

  await sleep(WARM_UP_MS)
  if (TROUBLE) {
    record.line(
      'the routers are partitioned from the replicas: new connections are refused, open ones live on',
    )
    for (const replica of replicas) replica.refuseConnections()
  }
  clients = FEWER_CLIENTS
  // The router has little traffic until then.
  const streams = [readStream(0)]
  await sleep(QUIET_MS)
  for (let i = 1; i < STREAMS; i += 1) streams.push(readStream(i))
  await sleep(PARTITION_MS - QUIET_MS)
  if (TROUBLE) {
    for (const replica of replicas) await replica.acceptConnections()
    record.line('the partition ends')
  }
  // From now on the router has traffic of its own.
  clients = ROUTER_CLIENTS
  for (let i = 0; i < ROUTER_CLIENTS; i += 1) others.push(sendTags(router, i))
  await sleep(RUN_ON_MS)
  let restart
  if (TROUBLE) {
    record.line(`${peer.name} is killed`)
    peer.child.kill('SIGKILL')
    // The platform starts a process that has ended again after a short delay.
    restart = setTimeout(() => fleet.restart(peer), DOWN_MS)
  }
  const results = await Promise.all(streams)
  clearTimeout(restart)
  clients = 0
  await Promise.all(others)
  const mixed = results.filter(({ length }) => length > 1)
  record.line(
    `${STREAMS} streams; ${mixed.length} hold events from replicas of two software versions`,
  )
  return mixed.length > MAX_STREAMS
})
