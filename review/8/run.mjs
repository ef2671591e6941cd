// A request that crashes each replica that runs it, a moment after its first events.
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
const SOUND = { events: 40, gapMs: 40 }
/** Time from the start of the run to the crash: three events of 40 ms are out by then. */
const CRASH_AFTER_MS = Number(process.env.CRASH_AFTER_MS ?? 150)
const HARMFUL = { ...SOUND, crashAfterMs: CRASH_AFTER_MS }
const KEYS = { sound: 'k-sound-4711', harmful: 'k-harmful-4712' }
const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'step-explained',
      host: HOST,
      'path-prefix': '/explain/',
      'route-kind': 'streaming',
      service: 'model',
      'max-attempts': 1,
      'timeout-ms': DEADLINE_MS,
      'target-latency-ms': 400,
      'target-gap-ms': 400,
      priority: 0,
    },
  ],
  services: [{ name: 'model' }],
  tenants: [
    { name: 'tenant-a', 'api-keys': [KEYS.sound] },
    { name: 'tenant-b', 'api-keys': [KEYS.harmful] },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3_000,
    'idle-timeout-ms': 15_000,
  },
}
/** Times from the start of traffic, in milliseconds. */
const HARMFUL_STARTS_MS = 8_000
/** The page's own day: a share of 0.03 for 20 s. */
const HARMFUL_ENDS_MS = 28_000
const HARMFUL_EVERY_MS = 1_100
const LAST_NEW_MS = 32_000
const SOUND_EVERY_MS = 30
/** A crashed replica is back after some seconds. */
const BACK_AFTER_MS = 3_000

await runCase(FOLDER, async (isTroubled) => {
  const deployment = await startDeployment(FOLDER, 3)
  const { record, store, routers, lines } = deployment
  let isOver = false
  try {
    store.put('config', CONFIGURATION)
    for (let i = 1; i <= 12; i += 1) {
      const replica = await deployment.addReplica({
        id: `i-${i}`,
        service: 'model',
        version: '1',
        slots: 64,
        queue: 192,
      })
      const watch = () =>
        replica.child.once('exit', () => {
          setTimeout(() => {
            if (isOver) return
            replica.start()
            watch()
          }, BACK_AFTER_MS)
        })
      watch()
    }
    for (const router of routers) router.start({ bootstrap: true })
    await deployment.waitUntilReady()
    await sleep(4_000)

    const startedAt = Date.now()
    const harmfulAttempts = new Map()
    let sound = 0
    let cut = 0

    async function play(kind) {
      const router = deployment.pickRouter()
      const seen = await attempt(router, {
        host: HOST,
        path: '/explain/',
        body: JSON.stringify(kind === 'harmful' ? HARMFUL : SOUND),
        deadlineMs: DEADLINE_MS,
        headers: { 'X-Key': KEYS[kind] },
        onRequest: (_req, { attemptId }) => {
          if (kind === 'harmful')
            harmfulAttempts.set(attemptId, { isInTouch: router.isInTouch() })
        },
      })
      if (kind === 'sound') {
        sound += 1
        if (seen.reason !== 'complete' || seen.status !== 200) cut += 1
      }
      record({
        event: `client: ${kind} request`,
        attempt: seen.attemptId,
        router: router.index,
        status: seen.status,
        events: seen.events.length,
        reason: seen.reason,
        tookMs: seen.endedAt - seen.sentAt,
      })
    }

    const plays = []
    let harmfulAt = startedAt + HARMFUL_STARTS_MS
    while (Date.now() - startedAt < LAST_NEW_MS) {
      plays.push(play('sound'))
      const isOn = isTroubled && Date.now() < startedAt + HARMFUL_ENDS_MS
      if (isOn && Date.now() >= harmfulAt) {
        harmfulAt += HARMFUL_EVERY_MS
        plays.push(play('harmful'))
      }
      await sleep(SOUND_EVERY_MS)
    }
    await Promise.all(plays)
    isOver = true

    const crashes = lines.filter(({ event }) => event === 'crash')
    const countsFrom = (crashes[2]?.ms ?? Infinity) + BOUNDS['contact-ms']
    const runs = lines.filter(
      ({ event, attempt: id }) => event === 'run' && harmfulAttempts.has(id),
    )
    const late = runs.filter(
      ({ ms, attempt: id }) =>
        ms > countsFrom && harmfulAttempts.get(id).isInTouch,
    )
    return {
      isBroken: late.length > 3,
      summary:
        `the harmful request was sent ${harmfulAttempts.size} times and crashed ${crashes.length} replicas; later than ` +
        `contact-ms after the third crash it reached replicas ${late.length} times from machines in touch; 3 are allowed. ` +
        `${cut} of ${sound} sound streams were cut or refused`,
    }
  } finally {
    isOver = true
    await deployment.close()
  }
})
