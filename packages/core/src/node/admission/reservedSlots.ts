/**
 * Returns how many of a service's places only rank 0 may take (trunk
 * reservation), so that an urgent request need not wait for an ending one.
 */
export function reservedSlots(concurrency: number, share: number): number {
  return Number.isFinite(concurrency) ? Math.floor(concurrency * share) : 0
}
