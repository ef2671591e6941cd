// One replica sends a few bodies without end in chunks of a byte; the routers that
// read them run out of memory.
import { KeptConnection } from '../lib/client.mjs'
import { configuration, route } from '../lib/configuration.mjs'
import { sleep, startFleet } from '../lib/fleet.mjs'
import { recordRuns, runCase, TROUBLE } from '../lib/record.mjs'
import { startReplica } from '../lib/replica.mjs'

const ROUTERS = 2
const CLIENTS_PER_ROUTER = 16
/** Clients of another service, whose replicas are all sound. */
const NOTICE_CLIENTS_PER_ROUTER = 16
const NOTICE_MS = 400
/** Time for which the replica spoils responses: `garble`, for_s = 5.5. */
const SPOILED_MS = 5_500
const CONTACT_MS = 3_000
/** "more than three times" */
const MAX_CLOSED = 3

await runCase(import.meta.url, async (record, onEnd) => {
  const fleet = await startFleet({ routers: ROUTERS })
  onEnd(() => fleet.close())
  let spoils = false

  /** Sends a proper head, and a body without end as an unbuffered writer does. */
  function spoil({ req, run }) {
    const { socket } = req
    const head = [
      'HTTP/1.1 200 OK',
      `X-Attempt-Id: ${run.id}`,
      'X-Replica-Signature: sig',
      'Transfer-Encoding: chunked',
    ]
    socket.write(`${head.join('\r\n')}\r\n\r\n`)
    const batch = Buffer.from('1\r\nx\r\n'.repeat(5_000))
    const pump = () => {
      if (!socket.destroyed) socket.write(batch, () => setImmediate(pump))
    }
    pump()
  }

  const replicas = []
  for (let i = 0; i < 3; i += 1) {
    const isFaulty = i === 2
    const replica = await startReplica(`${fleet.net}.${100 + i}`, `i-${i}`, {
      slots: 12,
      respond(call) {
        if (!isFaulty || !spoils) return false
        record.line(`i-${i} spoils the response to ${call.run.id}`)
        spoil(call)
        return new Promise((resolve) => {
          call.req.socket.once('close', () => resolve(true))
        })
      },
    })
    onEnd(() => replica.close())
    replicas.push(replica)
    fleet.store.put('keyed.servers', replica.id, replica.entry)
  }
  for (let i = 0; i < 2; i += 1) {
    const id = `i-notices-${i}`
    const replica = await startReplica(`${fleet.net}.${110 + i}`, id, {
      service: 'notices',
      slots: 24,
      workMs: NOTICE_MS,
    })
    onEnd(() => replica.close())
    replicas.push(replica)
    fleet.store.put('keyed.servers', id, replica.entry)
  }
  const sound = new Set(['i-0', 'i-1', 'i-notices-0', 'i-notices-1'])
  fleet.store.put(
    'keyed.op',
    'config',
    configuration(1, [
      route('tiles', '/tiles/', 'app'),
      route('notices', '/notices/', 'notices', {
        'route-kind': 'non_idempotent',
        'max-attempts': 1,
      }),
    ]),
  )
  await fleet.waitUntilReady()
  for (const router of fleet.routers)
    router.onExit = () => {
      const { code, signal } = router.exit
      record.line(`${router.name} ended by itself: ${code ?? signal}`)
      router.endedAtMs ??= router.exit.atMs
      // The platform starts a process that has ended again after a short delay.
      setTimeout(() => fleet.restart(router), 1_000)
    }
  onEnd(() => {
    for (const router of fleet.routers) router.onExit = undefined
  })

  const seen = []
  let stopped = false
  async function runClient(router, path) {
    const connection = new KeptConnection()
    while (!stopped) {
      const response = await connection.send(router, path)
      seen.push(response)
      record.line(
        `${response.id} ${router.name} ${response.status ?? response.error} ${response.ms.toFixed(0)} ms`,
      )
      if (response.closed) await sleep(200)
    }
    connection.close()
  }
  const start = (count, router, path) =>
    Array.from({ length: count }, () => runClient(router, path))
  const clients = fleet.routers.flatMap((router) => [
    ...start(CLIENTS_PER_ROUTER, router, '/tiles/1'),
    ...start(NOTICE_CLIENTS_PER_ROUTER, router, '/notices/1'),
  ])
  await sleep(2 * CONTACT_MS)
  record.line('the disruption begins')
  spoils = TROUBLE
  await sleep(SPOILED_MS)
  spoils = false
  record.line('the disruption ends')
  await sleep(CONTACT_MS)
  stopped = true
  await Promise.all(clients)
  recordRuns(record, replicas)

  const runs = new Map(
    replicas.flatMap(({ runs: own }) => own).map((run) => [run.id, run]),
  )
  let most = 0
  for (const router of fleet.routers) {
    // Only requests of the first life: until then nothing had happened to the machine.
    const lost = seen.filter(
      ({ id, kept, closed, router: name, sentAtMs }) =>
        name === router.name &&
        closed &&
        kept &&
        sentAtMs <= (router.endedAtMs ?? Infinity) &&
        sound.has(runs.get(id)?.replica),
    )
    most = Math.max(most, lost.length)
    record.line(
      `${router.name}: ${lost.length} kept connections closed without an answer to a request that a sound replica ran`,
    )
  }
  const served = seen.filter(({ status }) => status === 200).length
  record.line(`${seen.length} requests, ${served} served`)
  return most > MAX_CLOSED
})
