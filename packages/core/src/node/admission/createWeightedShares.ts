/**
 * Recent service of each customer divided by its weight. Service decays with a
 * half-life, so a customer below its share goes first, but one that was idle
 * catches up on the recent past only.
 */
export interface WeightedShares {
  /** Counts a waiting request. */
  addWaiting(customer: string): void
  /** Removes a request that no longer waits from the count. */
  removeWaiting(customer: string): void
  /** Charges a customer for one started request. */
  charge(customer: string, nowMs: number): void
  /** Returns recent service by weight; the lowest share is served next. */
  share(customer: string, weight: number, nowMs: number): number
  /** Returns the share as if the customer's waiting requests had been served. */
  shareWithWaiting(customer: string, weight: number, nowMs: number): number
}

interface Usage {
  service: number
  atMs: number
}

/** Decayed service, in requests, below which a customer is removed. */
const MIN_SERVICE = 1e-6

/** Creates shares in which every customer starts at zero. */
export function createWeightedShares(halfLifeMs: number): WeightedShares {
  const usages = new Map<string, Usage>()
  const waiting = new Map<string, number>()

  function service(customer: string, nowMs: number): number {
    const usage = usages.get(customer)
    if (!usage) return 0
    return usage.service * 2 ** ((usage.atMs - nowMs) / halfLifeMs)
  }

  return {
    share: (customer, weight, nowMs) => service(customer, nowMs) / weight,
    shareWithWaiting(customer, weight, nowMs) {
      const count = waiting.get(customer) ?? 0
      return (service(customer, nowMs) + count) / weight
    },
    addWaiting(customer) {
      waiting.set(customer, (waiting.get(customer) ?? 0) + 1)
    },
    removeWaiting(customer) {
      const count = waiting.get(customer) ?? 0
      if (count > 1) waiting.set(customer, count - 1)
      else waiting.delete(customer)
    },
    charge(customer, nowMs) {
      const total = service(customer, nowMs) + 1
      usages.set(customer, { service: total, atMs: nowMs })
      for (const id of usages.keys())
        if (service(id, nowMs) < MIN_SERVICE) usages.delete(id)
    },
  }
}
