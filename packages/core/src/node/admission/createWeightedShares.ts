/**
 * Service that customers got, divided by their weights, as virtual time
 * (start-time fair queueing, Goyal et al. 1996).
 */
export interface WeightedShares {
  /** Starts counting a request that waits. */
  join(customer: string): void
  /** Stops counting a request that no longer waits. */
  leave(customer: string): void
  /** Charges one request to a customer that waits. */
  charge(customer: string, weight: number): void
  /** Virtual time of a customer; the least is served next. */
  share(customer: string): number
  /** Requests of a customer that wait. */
  waiting(customer: string): number
}

/** Creates shares in which every customer starts equal. */
export function createWeightedShares(): WeightedShares {
  const virtual = new Map<string, number>()
  const waiting = new Map<string, number>()
  let floor = 0

  function share(customer: string): number {
    return virtual.get(customer) ?? floor
  }

  function raiseFloor(): void {
    let least = Infinity
    for (const customer of waiting.keys())
      least = Math.min(least, share(customer))
    if (Number.isFinite(least)) floor = Math.max(floor, least)
  }

  return {
    share,
    waiting: (customer) => waiting.get(customer) ?? 0,
    join(customer) {
      const count = waiting.get(customer) ?? 0
      // An absent customer saves up no claim to later service.
      if (count === 0) virtual.set(customer, Math.max(share(customer), floor))
      waiting.set(customer, count + 1)
    },
    leave(customer) {
      const count = waiting.get(customer) ?? 0
      if (count > 1) waiting.set(customer, count - 1)
      else waiting.delete(customer)
      raiseFloor()
      for (const [id, value] of virtual)
        if (!waiting.has(id) && value <= floor) virtual.delete(id)
    },
    charge(customer, weight) {
      virtual.set(customer, share(customer) + 1 / weight)
    },
  }
}
