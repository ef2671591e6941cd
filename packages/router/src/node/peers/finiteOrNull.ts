/** Returns a rounded number, or null if it is infinite: JSON and MessagePack readers expect that. */
export function finiteOrNull(value: number): number | null {
  return Number.isFinite(value) ? Math.round(value) : null
}
