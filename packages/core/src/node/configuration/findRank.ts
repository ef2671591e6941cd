import type { Configuration } from './configurationSchema.js'

/** Request properties that rules match on. */
export interface RankQuery {
  readonly service: string
  readonly customer: string
  readonly requestKind: string
}

/**
 * Returns the rank of a request; 0 is the highest priority. The rule with the
 * most matching fields wins, and among equals the one with the lowest rank.
 */
export function findRank(cfg: Configuration, query: RankQuery): number {
  let rank = cfg.defaultRank
  let bestSpecificity = -1
  for (const rule of Object.values(cfg.rules)) {
    if (rule.service !== undefined && rule.service !== query.service) continue
    if (rule.customer !== undefined && rule.customer !== query.customer)
      continue
    if (
      rule.requestKind !== undefined &&
      rule.requestKind !== query.requestKind
    )
      continue
    const specificity = [rule.service, rule.customer, rule.requestKind].filter(
      (field) => field !== undefined,
    ).length
    if (specificity < bestSpecificity) continue
    if (specificity === bestSpecificity && rule.rank >= rank) continue
    bestSpecificity = specificity
    rank = rule.rank
  }
  return rank
}
