// Streams that clients take up again after all processes of the system were killed at once.
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { attempt } from '../lib-2/client.mjs'
import {
  BOUNDS,
  runCase,
  sleep,
  startDeployment,
} from '../lib-2/deployment.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HOST = 'chat.example'
const DEADLINE_MS = 12_000
const STREAM = { events: 60, gapMs: 100 }
const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'step-explained',
      host: HOST,
      'path-prefix': '/explain/',
      'route-kind': 'streaming',
      service: 'model',
      'stream-resumption': true,
      'max-attempts': 2,
      'timeout-ms': DEADLINE_MS,
      'target-latency-ms': 400,
      'target-gap-ms': 400,
      priority: 0,
      'anonymous-access': true,
    },
  ],
  services: [{ name: 'model' }],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
}
/** Times from the start of traffic, in milliseconds. */
const DISRUPTED_MS = 20_000
const LAST_NEW_MS = 32_000
const RESTART_MS = 1_000
/** A client's pauses before it takes a stream up again; a Retry-After counts if it is longer. */
const PAUSES_MS = [300, 1_700, 3_500]
const NEW_STREAM_EVERY_MS = 80

await runCase(FOLDER, async (isTroubled) => {
  const deployment = await startDeployment(FOLDER, 3)
  const { record, store, routers } = deployment
  try {
    store.put('config', CONFIGURATION)
    for (let i = 1; i <= 4; i += 1)
      await deployment.addReplica({
        id: `i-${i}`,
        service: 'model',
        version: '1',
        slots: 64,
        queue: 192,
      })
    for (const router of routers) router.start({ bootstrap: true })
    await deployment.waitUntilReady()
    await sleep(2_000)

    // Of all attempts at machines in touch since the disruption: what they were, and what came of them.
    const takenUp = new Map()
    const begun = new Map()
    const startedAt = Date.now()
    const drops = new Set()

    async function play() {
      const beganAt = Date.now()
      const body = JSON.stringify(STREAM)
      let first
      let lastId
      for (const pauseMs of [0, ...PAUSES_MS]) {
        await sleep(pauseMs)
        const router = deployment.pickRouter()
        const isInTouch = router.isInTouch()
        const isAfter = Date.now() - startedAt > DISRUPTED_MS
        const leftMs = DEADLINE_MS - (Date.now() - beganAt)
        if (leftMs < 1_000) break
        let drop
        const seen = await attempt(router, {
          host: HOST,
          path: '/explain/',
          body,
          deadlineMs: leftMs,
          headers:
            first === undefined
              ? {}
              : { 'Last-Event-Id': String(lastId), Resumes: first },
          onRequest(req) {
            drop = () => req.destroy()
            drops.add(drop)
          },
        })
        drops.delete(drop)
        const goesOn = seen.status === 200 && seen.events.length > 0
        record({
          event:
            first === undefined ? 'client: new stream' : 'client: taken up',
          first,
          attempt: seen.attemptId,
          router: router.index,
          isInTouch,
          status: seen.status,
          events: seen.events.length,
          reason: seen.reason,
          tookMs: seen.endedAt - seen.sentAt,
          ...(seen.status >= 400 && { body: seen.body }),
        })
        if (isInTouch && isAfter && router.isInTouch()) {
          const table = first === undefined ? begun : takenUp
          const key = first ?? seen.attemptId
          table.set(key, goesOn || (table.get(key) ?? false))
        }
        if (goesOn) {
          first ??= seen.attemptId
          lastId = seen.events.at(-1).id
        }
        if (seen.reason === 'complete' && goesOn) return
        if (seen.status === 503) await sleep(seen.retryAfterS * 1_000)
      }
    }

    const plays = []
    let isDisrupted = false
    while (Date.now() - startedAt < LAST_NEW_MS) {
      const ms = Date.now() - startedAt
      if (!isDisrupted && ms >= DISRUPTED_MS) {
        isDisrupted = true
        if (isTroubled) {
          for (const router of routers) router.kill('SIGKILL')
          setTimeout(() => {
            for (const router of routers) router.start()
          }, RESTART_MS)
        } else {
          // Without the disruption the clients lose their connections at this moment.
          record({ event: 'clients lose their connections', count: drops.size })
          for (const drop of drops) drop()
        }
      }
      plays.push(play())
      await sleep(NEW_STREAM_EVERY_MS)
    }
    await Promise.all(plays)

    const count = (table) => [...table.values()].filter(Boolean).length
    const share = count(takenUp) / takenUp.size
    const newShare = count(begun) / begun.size
    const isBroken = takenUp.size >= 12 && share < newShare / 2
    const summary =
      `at machines in touch ${takenUp.size} streams of one software version, with 4 replicas of it serving, ` +
      `were taken up again and ${count(takenUp)} went on; ${count(begun)} of ${begun.size} new streams began ` +
      `(contact-ms ${BOUNDS['contact-ms']})`
    return { isBroken, summary }
  } finally {
    await deployment.close()
  }
})
