import { setTimeout as sleep } from 'node:timers/promises'
import { startBalancedLoad } from './balancedLoad.js'
import type { ChatEnd } from './chatCall.js'
import { startProcessFleet } from './processFleet.js'

/** What callers saw while every router was replaced. */
export interface RollingResult {
  readonly ends: Readonly<Record<ChatEnd, number>>
  readonly exitCodes: readonly (number | null)[]
  /** Streams open through routers when they were told to stop. */
  readonly openAtStop: number
}

const WORDS = 20
const WORD_DELAY_MS = 10
const SETTLE_MS = 200

/** Replaces every router, one after another, under load. */
export async function rollFleet(
  routers: number,
  callers: number,
): Promise<RollingResult> {
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
    openAtStop += load.openThrough(router)
    router.child.kill('SIGTERM')
    exitCodes.push(await router.exited)
    fleet.remove(router)
    await fleet.add()
  }
  await load.stop()
  await fleet.stop()
  return { ends: load.ends, exitCodes, openAtStop }
}
