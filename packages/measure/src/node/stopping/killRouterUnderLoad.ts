import { setTimeout as sleep } from 'node:timers/promises'
import { startBalancedLoad } from './startBalancedLoad.js'
import type { ChatOutcome } from './callChat.js'
import { startProcessFleet } from './startProcessFleet.js'

const WORDS = 20
const WORD_DELAY_MS = 10
const SETTLE_MS = 300

/** Kills one of two routers under load; returns the number of calls by outcome. */
export async function killRouterUnderLoad(
  callers: number,
): Promise<Readonly<Record<ChatOutcome, number>>> {
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
  return load.outcomes
}
