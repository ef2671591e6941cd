const TIME_DIGITS = 15
const SUFFIX_LENGTH = 8

/** Creates the id of a process start; ids sort by start time. */
export function createIncarnation(
  startedAtMs: number,
  uniqueId: string,
): string {
  const time = String(startedAtMs).padStart(TIME_DIGITS, '0')
  return `${time}-${uniqueId.slice(0, SUFFIX_LENGTH)}`
}
