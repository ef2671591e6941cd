// A probe, no case: a router that is partitioned from all replicas while its peers are idle
// (RECOVER). It needs `npm run build` and plays the partition inside one process, with the
// stand-ins of platform/, as a partition of one process alone can't be played on loopback.
import process from 'node:process'

const STAND_INS = '../../platform/dist/node/__tests__/standIns/'
const { createPartition, PartitionFault } = await import(
  `${STAND_INS}createPartition.js`
)
const { startFleet } = await import(`${STAND_INS}startFleet.js`)
const { callRouter } = await import(`${STAND_INS}startPlatform.js`)

const CONTACT_MS = 3_000
const PEER_CALLED_MS = 12_000
const ENDS_MS = 15_000
const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

const partition = createPartition()
const fleet = await startFleet(3, 6, (index, start) =>
  index === 1 ? partition.run(start) : start(),
)
const [idle, partitioned] = fleet.routers

async function call(router) {
  const headers = { 'x-deadline-ms': '3000' }
  const signal = AbortSignal.timeout(3_000)
  const path = '/unsafe/a'
  return callRouter(router.address, { path, headers, signal }).then(
    ({ status }) => status,
    () => 0,
  )
}

for (const router of fleet.routers) await call(router)
await sleep(5_000)
partition.start(
  PartitionFault.Refuse,
  fleet.platform.replicas.map(({ address }) => address.port),
)
const startedAt = performance.now()
const counts = {}
const calls = []
let isPeerCalled = false
while (performance.now() - startedAt < ENDS_MS) {
  const ms = performance.now() - startedAt
  if (ms >= PEER_CALLED_MS && !isPeerCalled) {
    isPeerCalled = true
    calls.push(call(idle))
  }
  const span =
    ms < CONTACT_MS
      ? 'before contact-ms'
      : isPeerCalled
        ? 'once a peer had a request'
        : 'from contact-ms on'
  calls.push(
    call(partitioned).then((status) => {
      counts[span] ??= { served: 0, failed: 0 }
      counts[span][status === 200 ? 'served' : 'failed'] += 1
    }),
  )
  await sleep(100)
}
await Promise.all(calls)
process.stdout.write(`${JSON.stringify(counts)}\n`)
partition.end()
await fleet.close()
const { served, failed } = counts['from contact-ms on']
process.exit(served < (served + failed) / 2 ? 1 : 0)
