import type { ConfigurationTailer } from '../configuration/createConfigurationTailer.js'
import type { Membership } from '../membership/createMembership.js'
import type { Routing, TargetStatus } from '../routing/routing.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createLoop, type Loop } from '../tasks/createLoop.js'
import { DEFAULT_METRICS_INTERVAL_MS } from './constants.js'
import { ControlPurpose } from './controlPurpose.js'
import type { TrafficMeter } from './createTrafficMeter.js'
import type { Metrics } from './metrics.js'

/** Options for {@link createMetricsReporter}. */
export interface MetricsReporterOptions {
  readonly settings: Pick<ResolvedSettings, 'metrics'>
  readonly metrics: Metrics
  readonly traffic: TrafficMeter
  readonly routing: Pick<Routing, 'status'>
  readonly tailer: ConfigurationTailer
  readonly membership: Pick<Membership, 'livePeers'>
}

/**
 * Returns the highest load divided by the mean load; 1 when all loads are 0.
 */
export function loadSkew(loads: readonly number[]): number {
  let total = 0
  for (const load of loads) total += load
  return total === 0 ? 1 : (Math.max(...loads) * loads.length) / total
}

function groupByService(
  targets: readonly TargetStatus[],
): Map<string, TargetStatus[]> {
  const services = new Map<string, TargetStatus[]>()
  for (const target of targets) {
    const group = services.get(target.service) ?? []
    group.push(target)
    services.set(target.service, group)
  }
  return services
}

/** Starts reporting gauges and control traffic at intervals. */
export function createMetricsReporter(options: MetricsReporterOptions): Loop {
  const { metrics, traffic, routing, tailer, membership } = options
  let lastBytes = traffic.bytes()

  function reportTraffic(): void {
    const bytes = traffic.bytes()
    for (const purpose of Object.values(ControlPurpose))
      metrics.count('control.bytes', bytes[purpose] - lastBytes[purpose], {
        purpose,
      })
    lastBytes = bytes
  }

  function reportLoads(): void {
    for (const [service, statuses] of groupByService(routing.status())) {
      const loads = statuses.map((status) => status.load)
      metrics.gauge('load.skew', loadSkew(loads), { service })
      for (const { id, load, bound } of statuses) {
        metrics.gauge('target.load', load, { service, target: id })
        metrics.gauge('target.bound', bound, { service, target: id })
      }
    }
  }

  return createLoop(
    () => {
      reportTraffic()
      reportLoads()
      metrics.gauge('configuration.version', tailer.state.version)
      metrics.gauge('peers.live', membership.livePeers().length)
      return Promise.resolve()
    },
    options.settings.metrics?.everyMs ?? DEFAULT_METRICS_INTERVAL_MS,
    () => undefined,
  )
}
