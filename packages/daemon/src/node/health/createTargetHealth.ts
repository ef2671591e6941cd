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
import type { SentRequest, TargetHealth } from './targetHealth.js'

/** What target health works with. */
export interface TargetHealthOptions {
  readonly settings: HealthOptions
  readonly configuration: () => Configuration
  readonly metrics: Metrics
  readonly logger: ConsolaInstance
  readonly now: () => number
}

/** Creates passive health checks with ejection for all services. */
export function createTargetHealth(options: TargetHealthOptions): TargetHealth {
  const { settings, configuration, metrics, logger, now } = options
  const services = new Map<string, ServiceHealth>()
  let seen: Configuration | undefined

  function takeIn(cfg: Configuration): void {
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

  function find(targetId: string): ServiceHealth | undefined {
    const cfg = configuration()
    if (cfg !== seen) takeIn(cfg)
    seen = cfg
    const service = cfg.targets[targetId]?.service
    return service === undefined ? undefined : services.get(service)
  }

  function report(targetId: string, change: HealthChange): void {
    const service = configuration().targets[targetId]?.service ?? ''
    const tags = { service, target: targetId }
    switch (change) {
      case HealthChange.Ejected:
        metrics.count('targets.ejected', 1, tags)
        logger.warn(`Ejected ${targetId}; a request will probe it later.`)
        break
      case HealthChange.Recovered:
        metrics.count('targets.recovered', 1, tags)
        logger.info(`${targetId} answers again.`)
        break
      case HealthChange.None:
        break
    }
  }

  function sent(targetId: string): SentRequest {
    const isProbe = find(targetId)?.recordStart(targetId, now()) ?? false
    const end = (outcome: TargetOutcome) => (): void => {
      const health = find(targetId)
      if (!health) return
      report(targetId, health.recordOutcome(targetId, outcome, now(), isProbe))
    }
    return {
      isProbe,
      succeeded: end(TargetOutcome.Success),
      failed: end(TargetOutcome.Failure),
      refused: end(TargetOutcome.Refused),
      abandoned: end(TargetOutcome.Unknown),
    }
  }

  return {
    sent,
    isEligible: (targetId, idempotent) =>
      find(targetId)?.isEligible(targetId, idempotent, now()) ?? true,
    circuit: (targetId) =>
      find(targetId)?.circuit(targetId, now()) ?? CircuitState.Closed,
  }
}
