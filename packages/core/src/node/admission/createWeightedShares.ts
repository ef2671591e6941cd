/**
 * Service that customers got of late, divided by their weights. Service is
 * forgotten with a half-life, so a customer within its share goes first and a
 * customer that was away saves up no more than the recent past.
 */
export interface WeightedShares {
  /** Counts a request that waits. */
  join(customer: string): void
  /** Counts a request that no longer waits out. */
  leave(customer: string): void
  /** Charges one request that starts. */
  charge(customer: string, nowMs: number): void
  /** Recent service by weight; the customer with the least is next. */
  share(customer: string, weight: number, nowMs: number): number
  /** The same if all waiting requests of the customer had been served too. */
  claimedShare(customer: string, weight: number, nowMs: number): number
}

interface Usage {
  service: number
  atMs: number
}

/** Service below which a customer is forgotten. */
const FORGOTTEN = 1e-6

/** Creates shares in which every customer starts equal. */
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
    claimedShare(customer, weight, nowMs) {
      const claimed = waiting.get(customer) ?? 0
      return (service(customer, nowMs) + claimed) / weight
    },
    join(customer) {
      waiting.set(customer, (waiting.get(customer) ?? 0) + 1)
    },
    leave(customer) {
      const count = waiting.get(customer) ?? 0
      if (count > 1) waiting.set(customer, count - 1)
      else waiting.delete(customer)
    },
    charge(customer, nowMs) {
      const total = service(customer, nowMs) + 1
      usages.set(customer, { service: total, atMs: nowMs })
      for (const id of usages.keys())
        if (service(id, nowMs) < FORGOTTEN) usages.delete(id)
    },
  }
}
