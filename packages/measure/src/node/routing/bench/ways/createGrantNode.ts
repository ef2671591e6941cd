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

/** The decision logic of one router of the bench. */
export interface GrantNode {
  /** Index of the router. */
  readonly self: number
  readonly router: string
  readonly holder: CreditPool
  readonly shares: FallbackQuota
  readonly home: GroupCoordinator
  readonly placer: GroupTargetSelector
  readonly damper: FlapDamper
}

/** Creates a router for one group. */
export function createGrantNode(
  group: TargetGroup,
  self: number,
  homeLimitMs: number,
  loanSize?: number,
): GrantNode {
  const router = `router-${self}`
  const holder = createCreditPool({ group, router, incarnation: router })
  const shares = createFallbackQuota(group, router)
  const home = createGroupCoordinator({
    group,
    router,
    creditBatchSize: loanSize,
  })
  const placer = createGroupTargetSelector({
    group,
    creditPool: holder,
    fallbackQuota: shares,
    coordinatorTimeoutMs: homeLimitMs,
  })
  return {
    self,
    router,
    holder,
    shares,
    home,
    placer,
    damper: createFlapDamper(),
  }
}
