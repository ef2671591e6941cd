import { setTimeout as sleep } from 'node:timers/promises'
import type { ConsolaInstance } from 'consola'
import type { CallerServer } from '../callers/createCallerServer.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { StopOutcome } from './stopOutcome.js'

/**
 * Time in which aborted requests still receive their verdict, in milliseconds.
 */
const ABORT_GRACE_MS = 1_000

/** Whether `event` resolves within `ms` milliseconds. */
async function resolvesWithin(
  event: Promise<void>,
  ms: number,
): Promise<boolean> {
  const timeout = new AbortController()
  const { signal } = timeout
  const expired = sleep(ms, false, { signal }).catch(() => false)
  const result = await Promise.race([event.then(() => true), expired])
  timeout.abort()
  return result
}

/**
 * Drains requests from callers and aborts those that exceed the drain timeout.
 */
export async function stopCallers(
  callers: CallerServer,
  settings: ResolvedSettings['stopping'],
  logger: ConsolaInstance,
): Promise<StopOutcome> {
  callers.disableKeepAlive()
  // The load balancer keeps sending requests until it sees readiness fail.
  await sleep(settings.balancerDelayMs)
  callers.rejectNewRequests()
  const drained = await resolvesWithin(
    callers.drained(),
    settings.drainTimeoutMs,
  )
  if (!drained) {
    const count = callers.abortAll()
    logger.warn(`Aborted ${count} requests that exceeded the drain timeout.`)
    await resolvesWithin(callers.drained(), ABORT_GRACE_MS)
  }
  await callers.close()
  return drained ? StopOutcome.Drained : StopOutcome.Aborted
}
