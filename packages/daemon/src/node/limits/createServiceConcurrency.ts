import {
  type Configuration,
  createFleetShares,
  fleetAllowance,
} from '@auburnbay/core'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { FleetUsage } from './createFleetUsage.js'

/** Options for {@link createServiceConcurrency}. */
export interface ServiceConcurrencyOptions {
  readonly router: string
  /** Age in milliseconds after which a digest is stale. */
  readonly staleMs: number
  /** Milliseconds for which the last digest of an unresponsive peer counts. */
  readonly holdMs: number
  readonly settings: ResolvedSettings['queue']
  readonly configuration: () => Configuration
  readonly eligible: (targetId: string) => boolean
  readonly usage: FleetUsage
  readonly now: () => number
}

interface CachedResult {
  readonly cfg: Configuration
  readonly computedAtMs: number
  readonly concurrency: number
}

/** Lifetime of a cached result; digests arrive less often. */
const CACHE_TTL_MS = 50

/**
 * Creates a function that returns how many requests of a service this router
 * may have in flight: its share of the capacity of the service's targets, or
 * the capacity that its peers leave unused if that is more.
 */
export function createServiceConcurrency(
  options: ServiceConcurrencyOptions,
): (service: string) => number {
  const { router, staleMs, holdMs, settings, configuration, usage, now } =
    options

  const cache = new Map<string, CachedResult>()

  function compute(service: string): number {
    const ids: string[] = []
    let limit = 0
    for (const [id, target] of Object.entries(configuration().targets)) {
      if (target.service !== service) continue
      ids.push(id)
      if (options.eligible(id)) limit += target.maxInFlight ?? Infinity
    }
    if (!Number.isFinite(limit)) return settings.maxInFlight
    const peers = usage.peers((digest) => {
      let used = 0
      for (const id of ids) used += digest.targets[id] ?? 0
      return used
    })
    const routers = [router, ...peers.map((peer) => peer.router)]
    const allowance = fleetAllowance({
      limit,
      key: service,
      router,
      peers,
      staleMs,
      holdMs,
    })
    // A router may always use its own share, even while peers exceed theirs.
    const share = createFleetShares(limit, service, routers)(router)
    return Math.min(settings.maxInFlight, Math.max(1, share, allowance))
  }

  return (service) => {
    const cfg = configuration()
    const cached = cache.get(service)
    if (cached?.cfg === cfg && now() - cached.computedAtMs < CACHE_TTL_MS)
      return cached.concurrency
    const concurrency = compute(service)
    cache.set(service, { cfg, computedAtMs: now(), concurrency })
    return concurrency
  }
}
