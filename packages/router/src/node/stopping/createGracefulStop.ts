import { setTimeout as sleep } from 'node:timers/promises'
import type { CallerServer } from '../callers/createCallerServer.js'
import type { RequestHandler } from '../callers/createRequestHandler.js'
import {
  LOAD_BALANCER_DELAY_MS,
  STOP_CHECK_MS,
  STOP_MARGIN_MS,
} from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'

/** Options for {@link createGracefulStop}. */
export interface GracefulStopOptions {
  readonly callers: CallerServer
  readonly handler: RequestHandler
  /** Returns the milliseconds until the process is killed. */
  readonly gracePeriodMs: () => number
  /** Called first; the load balancer and the peers must learn of the stop. */
  readonly onStopping: () => void
  /** Called once no request is left, or the time is over. */
  readonly close: () => Promise<void>
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Creates a function that stops a router; its requests end first. */
export function createGracefulStop(
  options: GracefulStopOptions,
): () => Promise<void> {
  const { callers, handler, log, now } = options

  async function waitForRequests(untilMs: number): Promise<void> {
    while (handler.inFlight > 0 && now() < untilMs) await sleep(STOP_CHECK_MS)
  }

  async function stopOnce(): Promise<void> {
    const startedAtMs = now()
    log.write(LogEvent.Stopping, { inFlight: handler.inFlight })
    const gracePeriodMs = options.gracePeriodMs()
    const endMs = startedAtMs + gracePeriodMs - STOP_MARGIN_MS
    handler.stopAdmission.begin(endMs)
    options.onStopping()
    await sleep(Math.min(LOAD_BALANCER_DELAY_MS, gracePeriodMs / 2))
    handler.stopAdmission.refuseAll()
    callers.stopListening()
    await waitForRequests(endMs)
    const brokenOff = handler.inFlight
    handler.abortRequests()
    await waitForRequests(endMs + STOP_MARGIN_MS / 2)
    log.write(LogEvent.Stopped, { brokenOff })
    callers.close()
    await options.close()
  }

  let stopped: Promise<void> | undefined
  return () => (stopped ??= stopOnce())
}
