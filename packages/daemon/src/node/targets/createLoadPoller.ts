import { Agent } from 'node:http'
import { requestJson } from '@auburnbay/http-utils'
import { z } from 'zod'
import { LOAD_REPORT_TIMEOUT_MS } from '../constants.js'
import { createTargetPoller, type PolledTargets } from './createTargetPoller.js'
import type { TargetAddress } from './targetClient.js'

/** What a target said of its load. */
export interface LoadReport {
  readonly inFlight: number
  /** Milliseconds of the monotonic clock. */
  readonly atMs: number
}

/** Polls the load of targets. */
export interface LoadPoller {
  report(targetId: string): LoadReport | undefined
  stop(): Promise<void>
}

const loadSchema = z.object({ inFlight: z.number().min(0) })

/** Starts polling the load of the targets that `targets` names. */
export function createLoadPoller(
  targets: PolledTargets,
  everyMs: number,
  now: () => number,
  agent: Agent = new Agent({ keepAlive: true }),
): LoadPoller {
  const reports = new Map<string, LoadReport>()

  async function poll(target: TargetAddress): Promise<void> {
    const reply = await requestJson({
      method: 'GET',
      url: `http://${target.address}/load`,
      timeoutMs: LOAD_REPORT_TIMEOUT_MS,
      agent,
    })
    const parsed = loadSchema.safeParse(reply.isOk() && reply.value.body)
    if (!parsed.success) return
    reports.set(target.id, { inFlight: parsed.data.inFlight, atMs: now() })
  }

  const polling = createTargetPoller({ targets, intervalMs: everyMs, poll })
  return {
    report: (targetId) => reports.get(targetId),
    stop: async () => {
      await polling.stop()
      agent.destroy()
    },
  }
}
