import type { Configuration } from '../configuration/configurationSchema.js'

/** Usage of a team for each of its quotas. */
export interface TeamUsage {
  readonly customers: number
  readonly services: number
  readonly targets: number
  /** Sum of `maxInFlight` over the team's customers. */
  readonly inFlight: number
  /** Ids of the customers of the team that have no `maxInFlight`. */
  readonly unboundedCustomers: readonly string[]
}

/** Computes the usage of a team. */
export function teamUsage(cfg: Configuration, team: string): TeamUsage {
  const customers = Object.entries(cfg.customers).filter(
    ([, customer]) => customer.team === team,
  )
  const services = Object.entries(cfg.services).filter(
    ([, service]) => service.team === team,
  )
  const names = new Set(services.map(([id]) => id))
  const targets = Object.values(cfg.targets).filter((target) =>
    names.has(target.service),
  )
  let inFlight = 0
  for (const [, customer] of customers) inFlight += customer.maxInFlight ?? 0
  return {
    customers: customers.length,
    services: services.length,
    targets: targets.length,
    inFlight,
    unboundedCustomers: customers
      .filter(([, customer]) => customer.maxInFlight === undefined)
      .map(([id]) => id),
  }
}

function checkQuotas(cfg: Configuration, team: string): string | undefined {
  const quotas = cfg.teams[team]?.quotas
  if (!quotas) return undefined
  const usage = teamUsage(cfg, team)
  const counts = [
    ['maxCustomers', usage.customers, quotas.maxCustomers],
    ['maxServices', usage.services, quotas.maxServices],
    ['maxTargets', usage.targets, quotas.maxTargets],
    ['maxInFlight', usage.inFlight, quotas.maxInFlight],
  ] as const
  for (const [name, used, quota] of counts) {
    if (quota === undefined || used <= quota) continue
    return `/teams/${team}/quotas/${name}: the team would have ${used} of ${quota}; remove something or ask for a higher quota`
  }
  const [unbounded] = usage.unboundedCustomers
  if (quotas.maxInFlight === undefined || unbounded === undefined)
    return undefined
  return `/customers/${unbounded}/maxInFlight: team ${team} has a quota of requests in flight, so each of its customers needs this field`
}

function findUnknownTeam(cfg: Configuration): string | undefined {
  const sections = ['customers', 'services', 'operators'] as const
  for (const section of sections) {
    const entries: Record<string, { team?: string }> = cfg[section]
    for (const [id, { team }] of Object.entries(entries)) {
      if (team === undefined || Object.hasOwn(cfg.teams, team)) continue
      return `/${section}/${id}/team: there is no team ${team}; create it first`
    }
  }
  return undefined
}

/** Returns the first reference to an unknown team or exceeded quota, if any. */
export function checkTeams(cfg: Configuration): string | undefined {
  const unknown = findUnknownTeam(cfg)
  if (unknown !== undefined) return unknown
  for (const team of Object.keys(cfg.teams)) {
    const exceeded = checkQuotas(cfg, team)
    if (exceeded !== undefined) return exceeded
  }
  return undefined
}
