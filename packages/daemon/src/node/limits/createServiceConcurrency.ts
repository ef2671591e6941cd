import {
  type Configuration,
  createFleetShares,
  fleetAllowance,
} from '@auburnbay/core'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import type { FleetUsage } from './createFleetUsage.js'

/** What the concurrency of services is worked out from. */
export interface ServiceConcurrencyOptions {
  readonly router: string
  /** Milliseconds after which a digest is no longer trusted. */
  readonly staleMs: number
  /** Milliseconds for which a silent peer's last digest counts. */
  readonly holdMs: number
  readonly settings: ResolvedSettings['queue']
  readonly configuration: () => Configuration
  readonly eligible: (targetId: string) => boolean
  readonly usage: FleetUsage
  readonly now: () => number
}

interface Known {
  readonly cfg: Configuration
  readonly atMs: number
  readonly concurrency: number
}

/** Milliseconds for which a result is used again; digests come less often. */
const FRESH_MS = 50

/**
 * Returns how many requests of a service this router may have in flight: its
 * share of what the service's targets take, or what its peers leave of it.
 */
export function createServiceConcurrency(
  options: ServiceConcurrencyOptions,
): (service: string) => number {
  const { router, staleMs, holdMs, settings, configuration, usage, now } =
    options

  const known = new Map<string, Known>()

  function workOut(service: string): number {
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
    const left = fleetAllowance({
      limit,
      key: service,
      router,
      peers,
      staleMs,
      holdMs,
    })
    // Its share is a router's own even while busier peers borrow it.
    const share = createFleetShares(limit, service, routers)(router)
    return Math.min(settings.maxInFlight, Math.max(1, share, left))
  }

  return (service) => {
    const cfg = configuration()
    const last = known.get(service)
    if (last?.cfg === cfg && now() - last.atMs < FRESH_MS)
      return last.concurrency
    const concurrency = workOut(service)
    known.set(service, { cfg, atMs: now(), concurrency })
    return concurrency
  }
}
