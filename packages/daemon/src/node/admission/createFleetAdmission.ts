import type { Configuration, VmEntry } from '@auburnbay/core'
import { STALE_AFTER_HEARTBEATS } from '../limits/constants.js'
import { createCustomerLimits } from '../limits/createCustomerLimits.js'
import { createFleetUsage } from '../limits/createFleetUsage.js'
import { createServiceConcurrency } from '../limits/createServiceConcurrency.js'
import type { Membership } from '../membership/createMembership.js'
import type { Metrics } from '../metrics/metrics.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { Admission } from './admission.js'
import { createAdmission } from './createAdmission.js'

/** Options for {@link createFleetAdmission}. */
export interface FleetAdmissionOptions {
  readonly settings: ResolvedSettings
  readonly configuration: () => Configuration
  readonly vms: () => readonly VmEntry[]
  readonly membership: () => Pick<Membership, 'livePeers'>
  /** Whether a target accepts requests. */
  readonly eligible: (targetId: string) => boolean
  readonly metrics: Metrics
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
  /** Milliseconds since the epoch. */
  readonly epochNow: () => number
}

/** Creates admission control with limits that include the peers' usage. */
export function createFleetAdmission(
  options: FleetAdmissionOptions,
): Admission {
  const { settings, configuration, metrics, now } = options
  const router = settings.router.id
  const staleMs = settings.peers.heartbeatMs * STALE_AFTER_HEARTBEATS
  const holdMs = settings.limits.silentHoldMs
  const usage = createFleetUsage({ ...options, router, holdMs })
  const limitOptions = {
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
    limits: createCustomerLimits(limitOptions),
    concurrency: createServiceConcurrency({
      ...limitOptions,
      settings: settings.queue,
      eligible: options.eligible,
    }),
  })
}
