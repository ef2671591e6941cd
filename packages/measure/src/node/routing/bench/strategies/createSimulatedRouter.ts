import {
  createFlapDamper,
  createCreditPool,
  createGroupCoordinator,
  createGroupTargetSelector,
  createFallbackQuota,
  type FlapDamper,
  type CreditPool,
  type GroupCoordinator,
  type GroupTargetSelector,
  type FallbackQuota,
  type TargetGroup,
} from '@auburnbay/core'

/** Selection logic of one simulated router for one group. */
export interface SimulatedRouter {
  readonly index: number
  readonly id: string
  readonly creditPool: CreditPool
  readonly fallbackQuota: FallbackQuota
  readonly coordinator: GroupCoordinator
  readonly targetSelector: GroupTargetSelector
  readonly flapDamper: FlapDamper
}

/** Creates the simulated router `router-<index>`. */
export function createSimulatedRouter(
  group: TargetGroup,
  index: number,
  coordinatorTimeoutMs: number,
  creditBatchSize?: number,
): SimulatedRouter {
  const id = `router-${index}`
  const creditPool = createCreditPool({ group, router: id, incarnation: id })
  const fallbackQuota = createFallbackQuota(group, id)
  const coordinator = createGroupCoordinator({
    group,
    router: id,
    creditBatchSize,
  })
  const targetSelector = createGroupTargetSelector({
    group,
    creditPool,
    fallbackQuota,
    coordinatorTimeoutMs,
  })
  return {
    index,
    id,
    creditPool,
    fallbackQuota,
    coordinator,
    targetSelector,
    flapDamper: createFlapDamper(),
  }
}
