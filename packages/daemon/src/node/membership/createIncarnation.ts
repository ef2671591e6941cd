const TIME_DIGITS = 15
const SUFFIX_LENGTH = 8

/** Creates the identity of a start; later starts sort after earlier ones. */
export function createIncarnation(startedAtMs: number, unique: string): string {
  const time = String(startedAtMs).padStart(TIME_DIGITS, '0')
  return `${time}-${unique.slice(0, SUFFIX_LENGTH)}`
}
