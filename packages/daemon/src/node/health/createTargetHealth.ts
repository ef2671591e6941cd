import {
  CircuitState,
  type Configuration,
  createServiceHealth,
  HealthChange,
  type HealthOptions,
  type ServiceHealth,
  TargetOutcome,
} from '@auburnbay/core'
import type { ConsolaInstance } from 'consola'
import type { Metrics } from '../metrics/metrics.js'
import type { TargetHealth, TrackedRequest } from './targetHealth.js'

/** Options for {@link createTargetHealth}. */
export interface TargetHealthOptions {
  readonly settings: HealthOptions
  readonly configuration: () => Configuration
  readonly metrics: Metrics
  readonly logger: ConsolaInstance
  /** Milliseconds of the monotonic clock. */
  readonly now: () => number
}

/** Creates passive health checks with outlier ejection for all services. */
export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
  const { settings, configuration, metrics, logger, now } = options
  const services = new Map<string, ServiceHealth>()
  let appliedConfiguration: Configuration | undefined

  function applyConfiguration(cfg: Configuration): void {
    const targets = new Map<string, string[]>()
    for (const service of Object.keys(cfg.services)) targets.set(service, [])
    for (const [id, { service }] of Object.entries(cfg.targets))
      targets.get(service)?.push(id)
    for (const service of services.keys())
      if (!targets.has(service)) services.delete(service)
    for (const [service, ids] of targets) {
      const health = services.get(service) ?? createServiceHealth(settings)
      health.setTargets(ids)
      services.set(service, health)
    }
  }

  function findServiceHealth(targetId: string): ServiceHealth | undefined {
    const cfg = configuration()
    if (cfg !== appliedConfiguration) applyConfiguration(cfg)
    appliedConfiguration = cfg
    const service = cfg.targets[targetId]?.service
    return service === undefined ? undefined : services.get(service)
  }

  function reportChange(targetId: string, change: HealthChange): void {
    const service = configuration().targets[targetId]?.service ?? ''
    const tags = { service, target: targetId }
    switch (change) {
      case HealthChange.Ejected:
        metrics.count('targets.ejected', 1, tags)
        logger.warn(
          `Ejected target ${targetId}; a later request will probe it.`,
        )
        break
      case HealthChange.Recovered:
        metrics.count('targets.recovered', 1, tags)
        logger.info(`Target ${targetId} recovered.`)
        break
      case HealthChange.None:
        break
    }
  }

  function trackRequest(targetId: string): TrackedRequest {
    const isProbe =
      findServiceHealth(targetId)?.recordStart(targetId, now()) ?? false
    const recorderOf = (outcome: TargetOutcome) => (): void => {
      const health = findServiceHealth(targetId)
      if (!health) return
      reportChange(
        targetId,
        health.recordOutcome(targetId, outcome, now(), isProbe),
      )
    }
    return {
      isProbe,
      recordSuccess: recorderOf(TargetOutcome.Success),
      recordFailure: recorderOf(TargetOutcome.Failure),
      recordRefusal: recorderOf(TargetOutcome.Refused),
      recordUnknown: recorderOf(TargetOutcome.Unknown),
    }
  }

  return {
    trackRequest,
    isEligible: (targetId, idempotent) =>
      findServiceHealth(targetId)?.isEligible(targetId, idempotent, now()) ??
      true,
    circuit: (targetId) =>
      findServiceHealth(targetId)?.circuit(targetId, now()) ??
      CircuitState.Closed,
  }
}
