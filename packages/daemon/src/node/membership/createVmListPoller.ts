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

/** Tracks the VMs by the platform's list and the departures peers report. */
export interface VmListPoller {
  readonly vms: readonly VmEntry[]
  /** Milliseconds since each known departure, by VM id. */
  departureAges(): Record<string, number>
  /** Applies departures that a peer reports: milliseconds since, by VM id. */
  readonly applyReportedDepartures: (
    ages: Readonly<Record<string, number>>,
  ) => void
  stop(): Promise<void>
}

/** Options for {@link createVmListPoller}. */
export interface VmListPollerOptions {
  readonly settings: ResolvedSettings['vmList']
  readonly logger: ConsolaInstance
  readonly metrics: Metrics
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** HTTP agent of the polls. @default Node's global agent */
  readonly agent?: Agent
}

/** Milliseconds for which the computed VMs are reused. */
const VM_CACHE_MS = 100

/** Starts polling the VM list. */
export function createVmListPoller(options: VmListPollerOptions): VmListPoller {
  const { settings, logger, metrics, now, agent } = options
  let membershipView = createMembershipView()
  let cachedVms: readonly VmEntry[] = []
  let cachedAtMs = -Infinity
  let isAvailable = true

  function applyList(list: readonly VmEntry[]): void {
    const heldBefore = membershipView.held.length
    membershipView = applyVmList(membershipView, list, now())
    cachedAtMs = -Infinity
    metrics.gauge('membership.held_vms', membershipView.held.length)
    if (membershipView.held.length > heldBefore)
      logger.error(
        `The VM list dropped ${membershipView.held.length} VMs at once; keeping them. Check the list.`,
      )
  }

  async function poll(): Promise<void> {
    const response = await requestJson({
      method: 'GET',
      url: `${settings.url}/vms`,
      timeoutMs: VM_LIST_TIMEOUT_MS,
      agent,
    })
    const parsed = vmListSchema.safeParse(
      response.isOk() && response.value.body,
    )
    if (parsed.success) applyList(parsed.data)
    else if (isAvailable)
      logger.warn(
        'The VM list service did not respond with a valid list; keeping the last one.',
      )
    isAvailable = parsed.success
    metrics.gauge('membership.list_answers', isAvailable ? 1 : 0)
  }

  // The VMs also change with time; cached because every request reads them.
  function resolveVms(): readonly VmEntry[] {
    const nowMs = now()
    if (nowMs - cachedAtMs < VM_CACHE_MS) return cachedVms
    cachedVms = currentVms(membershipView, nowMs)
    cachedAtMs = nowMs
    return cachedVms
  }

  const loop = createLoop(poll, settings.pollMs, (error) => {
    logger.error(error)
  })
  return {
    get vms() {
      return resolveVms()
    },
    departureAges: () => departureAges(membershipView, now()),
    applyReportedDepartures: (ages) => {
      if (Object.keys(ages).length === 0) return
      membershipView = applyReportedDepartures(membershipView, ages, now())
      cachedAtMs = -Infinity
    },
    stop: () => loop.stop(),
  }
}
