import { setTimeout as sleep } from 'node:timers/promises'
import { startBalancedLoad } from './balancedLoad.js'
import type { ChatEnd } from './chatCall.js'
import { startProcessFleet } from './processFleet.js'

const WORDS = 20
const WORD_DELAY_MS = 10
const SETTLE_MS = 300

/** Kills a router under load; returns how its callers' requests ended. */
export async function killRouter(
  callers: number,
): Promise<Readonly<Record<ChatEnd, number>>> {
  const fleet = await startProcessFleet({
    routers: 2,
    engine: { words: WORDS, wordDelayMs: WORD_DELAY_MS },
    stopping: { balancerDelayMs: 100, drainTimeoutMs: 20_000 },
  })
  const load = startBalancedLoad(fleet, callers, WORDS)
  await sleep(SETTLE_MS)
  const [first] = fleet.routers
  if (first) {
    first.child.kill('SIGKILL')
    await first.exited
    fleet.remove(first)
  }
  await sleep(SETTLE_MS)
  await load.stop()
  await fleet.stop()
  return load.ends
}
