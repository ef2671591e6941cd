import {
  type Configuration,
  createRateWindow,
  FailureCode,
  fleetAllowance,
  type FleetLimit,
  toRateLimit,
  type RateWindow,
} from '@auburnbay/core'
import { err, ok } from 'neverthrow'
import { createFailure } from '../callers/createFailure.js'
import type { Metrics } from '../metrics/metrics.js'
import type { FleetUsage } from './createFleetUsage.js'
import type { CustomerLimits } from './customerLimits.js'

/** Options for {@link createCustomerLimits}. */
export interface CustomerLimitsOptions {
  readonly router: string
  /** Age in milliseconds after which a digest is stale. */
  readonly staleMs: number
  /** Milliseconds for which the last digest of an unresponsive peer counts. */
  readonly holdMs: number
  readonly configuration: () => Configuration
  readonly usage: FleetUsage
  readonly metrics: Metrics
  readonly now: () => number
}

/** Kinds of customer limits; the values are metric labels. */
enum LimitKind {
  InFlight = 'in-flight',
  Rate = 'rate',
}

interface CustomerRate {
  readonly ratePerS: number
  /** Admitted requests. */
  readonly started: RateWindow
  /** Received requests, rejected ones included. */
  readonly received: RateWindow
}

const MS_PER_S = 1_000
const RETRY_AFTER_S = 1

/** Creates fleet-wide in-flight and rate limits for all customers. */
export function createCustomerLimits(
  options: CustomerLimitsOptions,
): CustomerLimits {
  const { router, staleMs, configuration, usage, metrics, now } = options
  const inFlight = new Map<string, number>()
  const rates = new Map<string, CustomerRate>()

  function rejectRequest(
    customer: string,
    kind: LimitKind,
    retryAfterS: number,
  ) {
    metrics.count('limits.refused', 1, { customer, limit: kind })
    const message = `${customer} has reached its ${kind} limit; send fewer requests or ask your operator for more`
    const { LimitReached } = FailureCode
    return err(createFailure(LimitReached, message, undefined, retryAfterS))
  }

  function rateOf(customer: string, ratePerS: number): CustomerRate {
    const existing = rates.get(customer)
    if (existing?.ratePerS === ratePerS) return existing
    const { windowMs } = toRateLimit(ratePerS)
    const rate = {
      ratePerS,
      started: createRateWindow(windowMs),
      received: createRateWindow(windowMs),
    }
    rates.set(customer, rate)
    return rate
  }

  function exceedsInFlight(customer: string, limit: number): boolean {
    const peers = usage.peers((digest) => digest.customers[customer] ?? 0)
    const key = `${LimitKind.InFlight}/${customer}`
    const { holdMs } = options
    const state: FleetLimit = { limit, key, router, peers, staleMs, holdMs }
    return (inFlight.get(customer) ?? 0) >= fleetAllowance(state)
  }

  function exceedsRate(customer: string, rate: CustomerRate): boolean {
    const { count: limit, windowMs: holdMs } = toRateLimit(rate.ratePerS)
    const peers = usage.peers(
      (digest) => digest.started?.[customer] ?? 0,
      (digest) => digest.asked?.[customer] ?? 0,
    )
    const key = `${LimitKind.Rate}/${customer}`
    const received = rate.received.count(now())
    const state: FleetLimit = {
      limit,
      key,
      router,
      received,
      peers,
      staleMs,
      holdMs,
    }
    return rate.started.count(now()) >= fleetAllowance(state)
  }

  function addInFlight(customer: string, change: number): void {
    const total = (inFlight.get(customer) ?? 0) + change
    if (total === 0) inFlight.delete(customer)
    else inFlight.set(customer, total)
  }

  return {
    acquire(customer) {
      const { maxInFlight, ratePerS } =
        configuration().customers[customer] ?? {}
      if (maxInFlight !== undefined && exceedsInFlight(customer, maxInFlight))
        return rejectRequest(customer, LimitKind.InFlight, RETRY_AFTER_S)
      if (ratePerS !== undefined) {
        const rate = rateOf(customer, ratePerS)
        rate.received.add(now())
        if (exceedsRate(customer, rate)) {
          const freeS = Math.ceil(rate.started.nextFreeMs(now()) / MS_PER_S)
          return rejectRequest(customer, LimitKind.Rate, Math.max(1, freeS))
        }
        rate.started.add(now())
      }
      addInFlight(customer, 1)
      let held = true
      return ok(() => {
        if (held) addInFlight(customer, -1)
        held = false
      })
    },
    inFlight: () => Object.fromEntries(inFlight),
    rates() {
      const started: Record<string, number> = {}
      const asked: Record<string, number> = {}
      for (const [customer, rate] of rates) {
        const total = rate.received.count(now())
        if (total === 0) continue
        asked[customer] = total
        started[customer] = rate.started.count(now())
      }
      return { started, asked }
    },
  }
}
