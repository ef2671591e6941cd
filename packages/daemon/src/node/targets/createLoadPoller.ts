import { Agent } from 'node:http'
import { requestJson } from '@auburnbay/http-utils'
import { z } from 'zod'
import { LOAD_REPORT_TIMEOUT_MS } from '../constants.js'
import { createTargetPoller, type PolledTargets } from './createTargetPoller.js'
import type { TargetAddress } from './targetClient.js'

/** Load that a target reported. */
export interface LoadReport {
  readonly inFlight: number
  /** Time of the response, in milliseconds of the monotonic clock. */
  readonly atMs: number
}

/** Polls the load of targets and keeps the last report of each. */
export interface LoadPoller {
  /** Returns the last report of a target; undefined before the first one. */
  lastReport(targetId: string): LoadReport | undefined
  stop(): Promise<void>
}

const loadSchema = z.object({ inFlight: z.number().min(0) })

/** Starts polling the load of the targets that `targets` returns. */
export function createLoadPoller(
  targets: PolledTargets,
  intervalMs: number,
  now: () => number,
  agent: Agent = new Agent({ keepAlive: true }),
): LoadPoller {
  const reports = new Map<string, LoadReport>()

  async function poll(target: TargetAddress): Promise<void> {
    const result = await requestJson({
      method: 'GET',
      url: `http://${target.address}/load`,
      timeoutMs: LOAD_REPORT_TIMEOUT_MS,
      agent,
    })
    const parsed = loadSchema.safeParse(result.isOk() && result.value.body)
    if (!parsed.success) return
    reports.set(target.id, { inFlight: parsed.data.inFlight, atMs: now() })
  }

  const poller = createTargetPoller({ targets, intervalMs, poll })
  return {
    lastReport: (targetId) => reports.get(targetId),
    stop: async () => {
      await poller.stop()
      agent.destroy()
    },
  }
}
