import type { Configuration, VmEntry } from '@auburnbay/core'
import { STALE_HEARTBEATS } from '../limits/constants.js'
import { createCustomerLimits } from '../limits/createCustomerLimits.js'
import { createFleetUsage } from '../limits/createFleetUsage.js'
import { createServiceConcurrency } from '../limits/createServiceConcurrency.js'
import type { Membership } from '../membership/createMembership.js'
import type { Metrics } from '../metrics/metrics.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Admission } from './admission.js'
import { createAdmission } from './createAdmission.js'

/** What admission over the whole fleet works with. */
export interface FleetAdmissionOptions {
  readonly settings: ResolvedSettings
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly membership: () => Pick<Membership, 'livePeers'>
  /** Whether a target takes work. */
  readonly eligible: (targetId: string) => boolean
  readonly metrics: Metrics
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** Creates admission whose limits count what the peers' digests tell. */
export function createFleetAdmission(
  options: FleetAdmissionOptions,
): Admission {
  const { settings, configuration, metrics, now } = options
  const router = settings.router.id
  const staleMs = settings.peers.heartbeatMs * STALE_HEARTBEATS
  const holdMs = settings.limits.silentHoldMs
  const usage = createFleetUsage({ ...options, router, holdMs })
  const limited = {
    router,
    staleMs,
    holdMs,
    configuration,
    usage,
    metrics,
    now,
  }
  return createAdmission({
    ...options,
    settings: settings.queue,
    limits: createCustomerLimits(limited),
    concurrency: createServiceConcurrency({
      ...limited,
      settings: settings.queue,
      eligible: options.eligible,
    }),
  })
}
