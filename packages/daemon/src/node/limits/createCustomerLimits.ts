import {
  type Configuration,
  createRateWindow,
  FailureCode,
  fleetAllowance,
  type PeerUsage,
  rateLimit,
  type RateWindow,
} from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import { createFailure } from '../callers/createFailure.js'
import type { Metrics } from '../metrics/metrics.js'
import type { FleetUsage } from './createFleetUsage.js'
import type { CustomerLimits } from './customerLimits.js'

/** What customer limits work with. */
export interface CustomerLimitsOptions {
  readonly router: string
  /** Milliseconds after which a digest is no longer trusted. */
  readonly staleMs: number
  /** Milliseconds for which a silent peer's last digest counts. */
  readonly holdMs: number
  readonly configuration: () => Configuration
  readonly usage: FleetUsage
  readonly metrics: Metrics
  readonly now: () => number
}

/** Which limit of a customer. */
enum LimitKind {
  InFlight = 'in-flight',
  Rate = 'rate',
}

const MS_PER_S = 1_000
const RETRY_AFTER_S = 1

/** Creates the limits of all customers. */
export function createCustomerLimits(
  options: CustomerLimitsOptions,
): CustomerLimits {
  const { router, staleMs, configuration, usage, metrics, now } = options
  const inFlight = new Map<string, number>()
  const windows = new Map<string, { ratePerS: number; window: RateWindow }>()

  function allowance(
    customer: string,
    kind: LimitKind,
    limit: number,
    peers: readonly PeerUsage[],
    holdMs: number,
  ): number {
    const key = `${kind}/${customer}`
    return fleetAllowance({ limit, key, router, peers, staleMs, holdMs })
  }

  function refuse(customer: string, kind: LimitKind, retryAfterS: number) {
    metrics.count('limits.refused', 1, { customer, limit: kind })
    const message = `${customer} has reached its ${kind} limit; send fewer requests or ask your operator for more`
    const { LimitReached } = FailureCode
    return err(createFailure(LimitReached, message, undefined, retryAfterS))
  }

  function windowOf(customer: string, ratePerS: number): RateWindow {
    const known = windows.get(customer)
    if (known?.ratePerS === ratePerS) return known.window
    const window = createRateWindow(rateLimit(ratePerS).windowMs)
    windows.set(customer, { ratePerS, window })
    return window
  }

  function overInFlight(customer: string, limit: number): boolean {
    const peers = usage.peers((digest) => digest.customers[customer] ?? 0)
    const { InFlight } = LimitKind
    const { holdMs } = options
    const allowed = allowance(customer, InFlight, limit, peers, holdMs)
    return (inFlight.get(customer) ?? 0) >= allowed
  }

  function overRate(customer: string, ratePerS: number): boolean {
    const { count, windowMs } = rateLimit(ratePerS)
    const peers = usage.peers((digest) => digest.started?.[customer] ?? 0)
    const { Rate } = LimitKind
    const allowed = allowance(customer, Rate, count, peers, windowMs)
    return windowOf(customer, ratePerS).count(now()) >= allowed
  }

  function count(customer: string, change: number): void {
    const total = (inFlight.get(customer) ?? 0) + change
    if (total === 0) inFlight.delete(customer)
    else inFlight.set(customer, total)
  }

  return {
    take(customer) {
      const { maxInFlight, ratePerS } =
        configuration().customers[customer] ?? {}
      if (maxInFlight !== undefined && overInFlight(customer, maxInFlight))
        return refuse(customer, LimitKind.InFlight, RETRY_AFTER_S)
      if (ratePerS !== undefined) {
        const window = windowOf(customer, ratePerS)
        if (overRate(customer, ratePerS)) {
          const freeS = Math.ceil(window.nextFreeMs(now()) / MS_PER_S)
          return refuse(customer, LimitKind.Rate, Math.max(1, freeS))
        }
        window.add(now())
      }
      count(customer, 1)
      let taken = true
      return ok(() => {
        if (taken) count(customer, -1)
        taken = false
      })
    },
    inFlight: () => Object.fromEntries(inFlight),
    started() {
      const started: Record<string, number> = {}
      for (const [customer, { window }] of windows) {
        const total = window.count(now())
        if (total > 0) started[customer] = total
      }
      return started
    },
  }
}
