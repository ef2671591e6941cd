import type { Agent } from 'node:http'
import {
  applyVmList,
  createMembershipView,
  currentVms,
  applyReportedDepartures,
  departureAges,
  type VmEntry,
  vmListSchema,
} from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'
import type { ConsolaInstance } from 'consola'
import { VM_LIST_TIMEOUT_MS } from '../constants.js'
import type { Metrics } from '../metrics/metrics.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop } from '../tasks/createLoop.js'

/** Knows the VMs, from the platform's list and from what peers have seen. */
export interface VmListPoller {
  readonly vms: readonly VmEntry[]
  /** Age in milliseconds of each departure that this router knows of. */
  departureAges(): Record<string, number>
  /** Takes in the departures that a peer knows of. */
  readonly applyReportedDepartures: (
    ages: Readonly<Record<string, number>>,
  ) => void
  stop(): Promise<void>
}

/** What polling the VM list works with. */
export interface VmListPollerOptions {
  readonly settings: ResolvedSettings['vmList']
  readonly logger: ConsolaInstance
  readonly metrics: Metrics
  readonly now: () => number
  /** Agent of the calls. @default Node's own */
  readonly agent?: Agent
}

/** Milliseconds for which a computed view is shown again. */
const SHOWN_MS = 100

/** Starts polling the VM list. */
export function createVmListPoller(options: VmListPollerOptions): VmListPoller {
  const { settings, logger, metrics, now, agent } = options
  let view = createMembershipView()
  let shown: readonly VmEntry[] = []
  let shownAtMs = -Infinity
  let answered = true

  function take(list: readonly VmEntry[]): void {
    const before = view.held.length
    view = applyVmList(view, list, now())
    shownAtMs = -Infinity
    metrics.gauge('membership.held_vms', view.held.length)
    if (view.held.length > before)
      logger.error(
        `The VM list misses ${view.held.length} VMs at once; keeping them. Check the list.`,
      )
  }

  async function round(): Promise<void> {
    const reply = await requestJson({
      method: 'GET',
      url: `${settings.url}/vms`,
      timeoutMs: VM_LIST_TIMEOUT_MS,
      agent,
    })
    const parsed = vmListSchema.safeParse(reply.isOk() && reply.value.body)
    if (parsed.success) take(parsed.data)
    else if (answered)
      logger.warn('The VM list did not answer; keeping the last one.')
    answered = parsed.success
    metrics.gauge('membership.list_answers', answered ? 1 : 0)
  }

  // The view changes with time as well, but is asked for at every request.
  function show(): readonly VmEntry[] {
    const nowMs = now()
    if (nowMs - shownAtMs < SHOWN_MS) return shown
    shown = currentVms(view, nowMs)
    shownAtMs = nowMs
    return shown
  }

  const loop = createLoop(round, settings.pollMs, (error) => {
    logger.error(error)
  })
  return {
    get vms() {
      return show()
    },
    departureAges: () => departureAges(view, now()),
    applyReportedDepartures: (ages) => {
      if (Object.keys(ages).length === 0) return
      view = applyReportedDepartures(view, ages, now())
      shownAtMs = -Infinity
    },
    stop: () => loop.stop(),
  }
}
