// One part of a prompt crashes each replica that begins to answer it. The prompts are those of long chats: 40 parts.
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
const REPLICAS = 6
const OTHER_REPLICAS = 4
/** Earlier turns of a chat, each a part of its prompt; the environment may set fewer. */
const TURNS = Number(process.env.TURNS ?? 38)
const SYSTEM_PART = '5c1e07a2:800'
const DEADLY_ID = '0dd0c0de'
/** A replica is back some seconds after it has crashed. */
const BACK_MS = 3_000
/** 10 requests a second, 3 in 100 of them with the part. */
const GAP_MS = 100
const DEADLY_SHARE = 0.03
const EVENTS = 20
const SOUND_MS = 12_000
const TROUBLE_MS = 20_000
const CONTACT_MS = 3_000
const MAX_LATE = 3

const hex = () =>
  Math.floor(Math.random() * 2 ** 32)
    .toString(16)
    .padStart(8, '0')

const ROUTE = {
  name: 'chat',
  host: HOST,
  'path-prefix': '/chat/',
  'route-kind': 'streaming',
  'timeout-ms': 15_000,
  'target-latency-ms': 1_000,
  priority: 1,
  service: 'writer',
  'max-attempts': 2,
  'anonymous-access': false,
  'session-affinity': true,
  'stream-resumption': true,
  'target-gap-ms': 400,
}

await runCase(new URL('.', import.meta.url), async ({ write, onFleet }) => {
  const fleet = await startFleet({ routers: ROUTERS })
  onFleet(fleet)
  const routers = Array.from({ length: ROUTERS }, (_, i) =>
    fleet.startRouter(i),
  )
  for (let i = 0; i < REPLICAS; i += 1)
    void fleet.keepReplica(
      {
        id: `i-${hex()}`,
        service: 'writer',
        slots: 64,
        workMs: 100,
        eventMs: 50,
        ...(hasTrouble && { deadlyPart: DEADLY_ID }),
      },
      BACK_MS,
    )
  for (let i = 0; i < OTHER_REPLICAS; i += 1)
    await fleet.startReplica({ id: `i-${hex()}`, service: 'records' })
  fleet.store.configure({
    version: 1,
    routes: [ROUTE],
    services: [
      { name: 'writer', 'health-path': '/health', 'connection-limit': 370 },
      { name: 'records', 'health-path': '/health', 'connection-limit': 110 },
    ],
    limits: fleet.limits,
    tenants: [{ name: 'tenant-a', 'api-keys': ['key-a'] }],
  })
  const areReady = async () =>
    (await Promise.all(routers.map(readinessOf))).every((s) => s === 200)
  if (!(await waitFor(areReady, 20_000))) throw new Error('no router is ready')

  /** A client that takes a stream up once, as PROTOCOL.md describes it. */
  async function send(kind) {
    const document = kind === 'deadly' ? DEADLY_ID : hex()
    const turns = Array.from({ length: TURNS }, () => `${hex()}:40`)
    const parts = [SYSTEM_PART, `${document}:300`, ...turns, `${hex()}:100`]
    const path = `/chat/${hex()}`
    const endsAtMs = performance.now() + 15_000
    let received
    for (let attempt = 1; attempt <= 2; attempt += 1) {
      const to = routers[Math.floor(Math.random() * ROUTERS)]
      const result = await call(to, {
        host: HOST,
        key: 'key-a',
        path,
        method: 'POST',
        deadlineMs: Math.round(endsAtMs - performance.now()),
        headers: {
          'X-Model': 'm',
          'X-Token-Usage': '2720,100',
          'X-Prompt-Prefix': parts.join(','),
          'X-Events': String(EVENTS),
          ...(received && {
            'Last-Event-Id': received.last,
            Resumes: received.first,
          }),
        },
      })
      const { status, outcome, ms, body, head } = result
      const why = status === 200 ? '' : ` ${body}`
      write(
        `${kind} ${result.attempt} at router ${to.index + 1}: ${status} ${outcome} after ${ms} ms${why}`,
      )
      if (status === 200 && outcome === 'complete') return
      const ids = [...body.matchAll(/^id: (\d+)\ndata: .*\n\n/gm)]
      if (ids.length > 0)
        received = {
          last: ids.at(-1)[1],
          first: received?.first ?? result.attempt,
        }
      const waitMs = Number(head['retry-after'] ?? 0) * 1_000
      if (waitMs > (endsAtMs - performance.now()) / 3) return
      await sleep(waitMs)
    }
  }

  const sent = []
  const startedAtMs = performance.now()
  let deadly = 0
  for (let i = 0; i * GAP_MS < SOUND_MS + TROUBLE_MS; i += 1) {
    await sleep(startedAtMs + i * GAP_MS - performance.now())
    const troubledMs = i * GAP_MS - SOUND_MS
    const isDeadly = troubledMs >= (deadly * GAP_MS) / DEADLY_SHARE
    if (isDeadly) deadly += 1
    sent.push(send(isDeadly ? 'deadly' : 'sound'))
  }
  await Promise.all(sent)

  const crashes = fleet.runs.filter(({ event }) => event === 'crash')
  for (const { replica, attempt } of crashes)
    write(`crash of ${replica}, which had begun to answer ${attempt}`)
  const reached = fleet.runs.filter((run) => run.deadly)
  const fifthAtMs = crashes[4]?.atMs ?? Infinity
  const late = reached.filter(({ atMs }) => atMs > fifthAtMs + CONTACT_MS)
  write(`${deadly} requests with the part, ${reached.length} times at replicas`)
  write(`${crashes.length} crashes`)
  write(
    `${late.length} times later than ${CONTACT_MS} ms after the fifth crash; ${MAX_LATE} are allowed`,
  )
  return late.length > MAX_LATE
})
