import {
  createFlapDamper,
  createGrantHolder,
  createGroupHome,
  createGroupPlacer,
  createLevelShares,
  type FlapDamper,
  type GrantHolder,
  type GroupHome,
  type GroupPlacer,
  type LevelShares,
  type TargetGroup,
} from '@auburnbay/core'

/** The decision logic of one router of the bench. */
export interface GrantNode {
  /** Index of the router. */
  readonly self: number
  readonly router: string
  readonly holder: GrantHolder
  readonly shares: LevelShares
  readonly home: GroupHome
  readonly placer: GroupPlacer
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
  const holder = createGrantHolder({ group, router, incarnation: router })
  const shares = createLevelShares(group, router)
  const home = createGroupHome({ group, router, loanSize })
  const placer = createGroupPlacer({ group, holder, shares, homeLimitMs })
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
