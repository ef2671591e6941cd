import {
  type Configuration,
  createRateWindow,
  FailureCode,
  fleetAllowance,
  toRateLimit,
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

interface CustomerRate {
  readonly ratePerS: number
  readonly started: RateWindow
  readonly asked: RateWindow
}

const MS_PER_S = 1_000
const RETRY_AFTER_S = 1

/** Creates the limits of all customers. */
export function createCustomerLimits(
  options: CustomerLimitsOptions,
): CustomerLimits {
  const { router, staleMs, configuration, usage, metrics, now } = options
  const inFlight = new Map<string, number>()
  const rates = new Map<string, CustomerRate>()

  function refuse(customer: string, kind: LimitKind, retryAfterS: number) {
    metrics.count('limits.refused', 1, { customer, limit: kind })
    const message = `${customer} has reached its ${kind} limit; send fewer requests or ask your operator for more`
    const { LimitReached } = FailureCode
    return err(createFailure(LimitReached, message, undefined, retryAfterS))
  }

  function rateOf(customer: string, ratePerS: number): CustomerRate {
    const known = rates.get(customer)
    if (known?.ratePerS === ratePerS) return known
    const { windowMs } = toRateLimit(ratePerS)
    const rate = {
      ratePerS,
      started: createRateWindow(windowMs),
      asked: createRateWindow(windowMs),
    }
    rates.set(customer, rate)
    return rate
  }

  function overInFlight(customer: string, limit: number): boolean {
    const peers = usage.peers((digest) => digest.customers[customer] ?? 0)
    const key = `${LimitKind.InFlight}/${customer}`
    const { holdMs } = options
    const state = { limit, key, router, peers, staleMs, holdMs }
    return (inFlight.get(customer) ?? 0) >= fleetAllowance(state)
  }

  function overRate(customer: string, rate: CustomerRate): boolean {
    const { count: limit, windowMs: holdMs } = toRateLimit(rate.ratePerS)
    const peers = usage.peers(
      (digest) => digest.started?.[customer] ?? 0,
      (digest) => digest.asked?.[customer] ?? 0,
    )
    const key = `${LimitKind.Rate}/${customer}`
    const asked = rate.asked.count(now())
    const state = { limit, key, router, asked, peers, staleMs, holdMs }
    return rate.started.count(now()) >= fleetAllowance(state)
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
        const rate = rateOf(customer, ratePerS)
        rate.asked.add(now())
        if (overRate(customer, rate)) {
          const freeS = Math.ceil(rate.started.nextFreeMs(now()) / MS_PER_S)
          return refuse(customer, LimitKind.Rate, Math.max(1, freeS))
        }
        rate.started.add(now())
      }
      count(customer, 1)
      let taken = true
      return ok(() => {
        if (taken) count(customer, -1)
        taken = false
      })
    },
    inFlight: () => Object.fromEntries(inFlight),
    rates() {
      const started: Record<string, number> = {}
      const asked: Record<string, number> = {}
      for (const [customer, rate] of rates) {
        const total = rate.asked.count(now())
        if (total === 0) continue
        asked[customer] = total
        started[customer] = rate.started.count(now())
      }
      return { started, asked }
    },
  }
}
