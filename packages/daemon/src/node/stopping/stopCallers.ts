import { setTimeout as sleep } from 'node:timers/promises'
import type { ConsolaInstance } from 'consola'
import type { CallerServer } from '../callers/createCallerServer.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { StopOutcome } from './stopOutcome.js'

/** Milliseconds in which requests that are cut off get their verdict. */
const ABORT_GRACE_MS = 1_000

/** Whether `event` comes within `ms` milliseconds. */
async function resolvesWithin(
  event: Promise<void>,
  ms: number,
): Promise<boolean> {
  const timer = new AbortController()
  const { signal } = timer
  const late = sleep(ms, false, { signal }).catch(() => false)
  const result = await Promise.race([event.then(() => true), late])
  timer.abort()
  return result
}

/** Takes callers away from this router and ends what they still wait for. */
export async function stopCallers(
  callers: CallerServer,
  settings: ResolvedSettings['stopping'],
  logger: ConsolaInstance,
): Promise<StopOutcome> {
  callers.disableKeepAlive()
  // The balancer goes on sending until it has seen readiness fail.
  await sleep(settings.balancerDelayMs)
  callers.rejectNewRequests()
  const inTime = await resolvesWithin(
    callers.drained(),
    settings.drainTimeoutMs,
  )
  if (!inTime) {
    const count = callers.abortAll()
    logger.warn(`Cut off ${count} requests that outlasted the limit.`)
    await resolvesWithin(callers.drained(), ABORT_GRACE_MS)
  }
  await callers.close()
  return inTime ? StopOutcome.Drained : StopOutcome.Aborted
}
