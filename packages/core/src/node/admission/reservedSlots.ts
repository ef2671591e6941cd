/**
 * Returns how many of a service's slots are reserved for rank 0 (trunk
 * reservation), so that an urgent request need not wait for another to end.
 */
export function reservedSlots(concurrency: number, share: number): number {
  return Number.isFinite(concurrency) ? Math.floor(concurrency * share) : 0
}
