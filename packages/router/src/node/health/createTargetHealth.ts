import {
  createServiceHealth,
  HealthChange,
  type ServiceHealth,
} from '@auburnbay/core/health/createServiceHealth'
import type { HealthOptions } from '@auburnbay/core/health/healthOptions'
import { TargetOutcome } from '@auburnbay/core/health/targetOutcome'
import { LRUCache } from 'lru-cache'
import type { Target } from '../targets/target.js'

/** Outlier ejection of targets by the outcomes of their requests. */
export interface TargetHealth {
  /** Returns the targets of a service that may get a request now; all if none may. */
  eligibleTargets(
    service: string,
    targets: readonly Target[],
    nowMs: number,
  ): readonly Target[]
  recordOutcome(target: Target, outcome: TargetOutcome, nowMs: number): void
  /** Excludes a target for `forMs` milliseconds, unless no other is left. */
  avoid(targetId: string, forMs: number, nowMs: number): void
  /** Records that a target did not accept a connection. */
  recordUnreachable(targetId: string, nowMs: number): void
  /** Whether a target did not accept the last connection, in the last seconds. */
  isUnreachable(targetId: string, nowMs: number): boolean
}

/** Milliseconds after which a target that was unreachable may be reachable again. */
const UNREACHABLE_MEMORY_MS = 5_000

/** Unreachable targets that are remembered. */
const MAX_UNREACHABLE = 1_000

/** Creates target health in which every target is eligible. */
export function createTargetHealth(
  options: HealthOptions,
  onChange: (target: Target, change: HealthChange) => void,
): TargetHealth {
  const services = new Map<string, ServiceHealth>()
  const known = new Map<string, readonly Target[]>()
  const avoidedUntilMs = new Map<string, number>()
  const unreachableAtMs = new LRUCache<string, number>({ max: MAX_UNREACHABLE })

  function healthOf(
    service: string,
    targets: readonly Target[],
  ): ServiceHealth {
    const health = services.get(service) ?? createServiceHealth(options)
    services.set(service, health)
    if (known.get(service) !== targets) {
      known.set(service, targets)
      health.setTargets(targets.map(({ id }) => id))
    }
    return health
  }

  function isAvoided(id: string, nowMs: number): boolean {
    const untilMs = avoidedUntilMs.get(id)
    if (untilMs === undefined) return false
    if (nowMs < untilMs) return true
    avoidedUntilMs.delete(id)
    return false
  }

  return {
    eligibleTargets(service, targets, nowMs) {
      const health = healthOf(service, targets)
      const available = targets.filter(
        ({ id }) => !isAvoided(id, nowMs) && health.isEligible(id, true, nowMs),
      )
      return available.length > 0 ? available : targets
    },
    recordOutcome(target, outcome, nowMs) {
      if (outcome === TargetOutcome.Success) unreachableAtMs.delete(target.id)
      const health = services.get(target.service)
      if (!health) return
      const isProbe = health.recordStart(target.id, nowMs)
      const change = health.recordOutcome(target.id, outcome, nowMs, isProbe)
      if (change !== HealthChange.None) onChange(target, change)
    },
    avoid(targetId, forMs, nowMs) {
      avoidedUntilMs.set(targetId, nowMs + forMs)
    },
    recordUnreachable(targetId, nowMs) {
      unreachableAtMs.set(targetId, nowMs)
    },
    isUnreachable(targetId, nowMs) {
      const atMs = unreachableAtMs.get(targetId)
      if (atMs === undefined) return false
      if (nowMs - atMs < UNREACHABLE_MEMORY_MS) return true
      unreachableAtMs.delete(targetId)
      return false
    },
  }
}
