/** Returns the nearest-rank quantile at `share`; 0 for no values. */
export function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  const index = Math.ceil(sorted.length * share) - 1
  return sorted[Math.max(0, index)] ?? 0
}

/** Returns the mean; 0 for no values. */
export function mean(values: readonly number[]): number {
  let sum = 0
  for (const value of values) sum += value
  return values.length === 0 ? 0 : sum / values.length
}
