// One replica sends a few streams that never end an event, in small chunks; the
// routers that read them stand still.
import { Agent } from 'node:http'
import { send } from '../lib/client.mjs'
import { configuration, route } from '../lib/configuration.mjs'
import { sleep, startFleet } from '../lib/fleet.mjs'
import { startFaultyStreams } from '../lib/faultyStreams.mjs'
import { recordRuns, runCase, TROUBLE } from '../lib/record.mjs'
import { startReplica } from '../lib/replica.mjs'

const ROUTERS = 2
/** Time between two notices to a router. */
const NOTICE_EVERY_MS = 25
const STREAM_READERS = 8
const CONTACT_MS = 3_000
/** Time for which the replica is faulty: `garble`, for_s = 5.5. */
const FAULTY_MS = 5_500
const NOTICE_TIMEOUT_MS = 1_000
/** "have no answer half a second later" */
const LATE_MS = 500
/** Fewer unanswered requests than this show nothing. */
const MIN_UNANSWERED = 8
/** Gap after which clients abandon a stream: eight times the pause of 300 ms. */
const STREAM_GAP_MS = 2_400

await runCase(import.meta.url, async (record, onEnd) => {
  const fleet = await startFleet({ routers: ROUTERS })
  onEnd(() => fleet.close())
  const replicas = []
  for (let i = 0; i < 3; i += 1) {
    const replica = await startReplica(
      `${fleet.net}.${100 + i}`,
      `i-app-${i}`,
      {
        service: 'notices',
        slots: 24,
      },
    )
    onEnd(() => replica.close())
    replicas.push(replica)
    fleet.store.put('keyed.servers', replica.id, replica.entry)
  }
  const engines = await startFaultyStreams(fleet.net, onEnd, (text) => {
    record.line(text)
  })
  for (const { id, entry } of engines.entries)
    fleet.store.put('keyed.servers', id, entry)
  fleet.store.put(
    'keyed.op',
    'config',
    configuration(1, [
      route('chart-notice', '/notices/', 'notices', {
        'route-kind': 'non_idempotent',
        'timeout-ms': NOTICE_TIMEOUT_MS,
        'max-attempts': 1,
      }),
      route('edge-summary', '/briefs/', 'engines', {
        'route-kind': 'streaming',
        'timeout-ms': 12_000,
        'target-latency-ms': 400,
        'target-gap-ms': 300,
        'max-attempts': 1,
        'session-affinity': true,
        'stream-resumption': true,
      }),
    ]),
  )
  await fleet.waitUntilReady()

  const seen = []
  let stopped = false

  async function sendNotices(router) {
    const agent = new Agent({ keepAlive: true })
    const pending = []
    while (!stopped) {
      pending.push(sendNotice(router, agent))
      await sleep(NOTICE_EVERY_MS)
    }
    await Promise.all(pending)
    agent.destroy()
  }

  async function sendNotice(router, agent) {
    const response = await send(router, '/notices/1', {
      method: 'POST',
      body: 'notice',
      agent,
    })
    seen.push(response)
    record.line(
      `${response.id} ${router.name} ${response.status ?? response.error} ${response.ms.toFixed(0)} ms`,
    )
  }

  let streams = 0
  async function readStreams(router) {
    while (!stopped) {
      streams += 1
      const abandon = new AbortController()
      let timer
      const restart = () => {
        clearTimeout(timer)
        timer = setTimeout(() => abandon.abort(), STREAM_GAP_MS)
      }
      restart()
      const response = await send(router, '/briefs/1', {
        method: 'POST',
        body: 'prompt',
        signal: abandon.signal,
        headers: {
          'X-Deadline-Ms': '15000',
          'X-Model': 'm',
          'X-Token-Usage': '1460,80',
          'X-Prompt-Prefix': `5c1e07a2:800,s${streams}:410,o${streams}:250`,
        },
        onData(text) {
          if (text.includes('\n\n')) restart()
        },
      })
      clearTimeout(timer)
      record.line(
        `${response.id} stream by ${router.name}: ${response.status ?? response.error}, complete ${response.complete ?? false}, ${response.ms.toFixed(0)} ms`,
      )
      await sleep(250)
    }
  }

  const clients = fleet.routers.flatMap((router) => [
    sendNotices(router),
    ...Array.from({ length: STREAM_READERS }, () => readStreams(router)),
  ])
  await sleep(2 * CONTACT_MS)
  record.line('the disruption begins')
  engines.setFaulty(TROUBLE)
  await sleep(FAULTY_MS)
  engines.setFaulty(false)
  record.line('the disruption ends')
  await sleep(2 * CONTACT_MS)
  stopped = true
  await Promise.all(clients)
  recordRuns(record, replicas)

  const unanswered = seen.filter(({ ms }) => ms >= NOTICE_TIMEOUT_MS)
  const late = unanswered.filter(({ ms }) => ms >= NOTICE_TIMEOUT_MS + LATE_MS)
  const served = seen.filter(({ status }) => status === 200).length
  const longest = Math.max(...seen.map(({ ms }) => ms))
  record.line(
    `${seen.length} notices, ${served} served; the longest wait was ${longest.toFixed(0)} ms`,
  )
  record.line(
    `${unanswered.length} were unanswered at ${NOTICE_TIMEOUT_MS} ms, ${late.length} of them ${LATE_MS} ms later`,
  )
  return (
    unanswered.length >= MIN_UNANSWERED && late.length > unanswered.length / 2
  )
})
