// The settings file of machines whose process has just started changes: SIGHUP ends the process.
import { sleep, startFleet, waitFor, readinessOf } from './fleet.mjs'
import { hasTrouble, runCase } from './record.mjs'

const ROUTERS = 3
/** Machines whose processes start again, one of three: two count for the rule. */
const STARTED = [1, 2]
/** Changes of the settings, one after each start. */
const CHANGES = 3
/** The process has run for this long when the change comes; a start takes at least 0.25 s here. */
const AFTER_START_MS = 120
/** Delay until the platform starts a process that has ended. */
const RESTART_MS = 500

await runCase(new URL('.', import.meta.url), async ({ write, onFleet }) => {
  const fleet = await startFleet({ routers: ROUTERS })
  onFleet(fleet)
  for (let i = 0; i < 2; i += 1)
    await fleet.startReplica({ id: `i-${i}`, service: 'records' })
  fleet.store.configure({
    version: 1,
    routes: [],
    services: [{ name: 'records', 'health-path': '/health' }],
    limits: fleet.limits,
    tenants: [],
  })
  const areReady = async (routers) =>
    (await Promise.all(routers.map(readinessOf))).every((s) => s === 200)
  const routers = Array.from({ length: ROUTERS }, (_, i) =>
    fleet.startRouter(i),
  )
  if (!(await waitFor(() => areReady(routers), 20_000)))
    throw new Error('no router is ready')
  fleet.endBootstrap()

  // Planned work: SIGTERM, and the process starts again.
  const ends = new Map()
  await Promise.all(
    STARTED.map(async (index) => {
      const name = `router ${index + 1}`
      routers[index].child.kill('SIGTERM')
      const { code } = await routers[index].exited
      write(`${name}: ended by SIGTERM with code ${code}`)
      ends.set(index, 0)
      for (let change = 1; change <= CHANGES; change += 1) {
        const router = fleet.startRouter(index)
        routers[index] = router
        write(`${name}: started`)
        await sleep(AFTER_START_MS)
        if (hasTrouble) {
          write(`${name}: settings change ${change}, SIGHUP`)
          router.child.kill('SIGHUP')
        }
        const end = await Promise.race([router.exited, sleep(3_000)])
        if (!end) {
          write(`${name}: runs on`)
          return
        }
        ends.set(index, change)
        write(`${name}: ended, code ${end.code}, signal ${end.signal}`)
        await sleep(RESTART_MS)
      }
    }),
  )
  const often = [...ends.values()].filter((count) => count >= 3).length
  write(
    `${often} machines of ${ROUTERS} on which the process ended three times`,
  )
  return often >= 2
})
