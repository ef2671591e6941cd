import { setTimeout as sleep } from 'node:timers/promises'
import { startBalancedLoad } from './startBalancedLoad.js'
import type { ChatOutcome } from './callChat.js'
import { startProcessFleet } from './startProcessFleet.js'

/** What callers and routers observed during a rolling restart. */
export interface RollingRestartResult {
  readonly outcomes: Readonly<Record<ChatOutcome, number>>
  readonly exitCodes: readonly (number | null)[]
  /** Streams open through the routers when they received SIGTERM. */
  readonly openAtStop: number
}

const WORDS = 20
const WORD_DELAY_MS = 10
const SETTLE_MS = 200

/** Replaces every router, one after another, under load. */
export async function runRollingRestart(
  routers: number,
  callers: number,
): Promise<RollingRestartResult> {
  const fleet = await startProcessFleet({
    routers,
    engine: { words: WORDS, wordDelayMs: WORD_DELAY_MS },
    stopping: { balancerDelayMs: 300, drainTimeoutMs: 20_000 },
  })
  const load = startBalancedLoad(fleet, callers, WORDS)
  const exitCodes: (number | null)[] = []
  let openAtStop = 0
  for (const router of [...fleet.routers]) {
    await sleep(SETTLE_MS)
    openAtStop += load.countOpenStreams(router)
    router.child.kill('SIGTERM')
    exitCodes.push(await router.exited)
    fleet.remove(router)
    await fleet.add()
  }
  await load.stop()
  await fleet.stop()
  return { outcomes: load.outcomes, exitCodes, openAtStop }
}
