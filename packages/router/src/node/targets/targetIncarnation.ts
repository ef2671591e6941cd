import type { TargetStart } from './createStartStatements.js'

/** Returns what identifies one start of a target; a target may start again under its id. */
export function targetIncarnation({ id, startedAtMs }: TargetStart): string {
  return startedAtMs === undefined ? id : `${id}/${startedAtMs}`
}

/** Returns the start of a target that {@link targetIncarnation} identifies. */
export function decodeIncarnation(
  incarnation: string,
  id: string,
): TargetStart {
  const startedAtMs = Number(incarnation.slice(id.length + 1) || NaN)
  return Number.isFinite(startedAtMs) ? { id, startedAtMs } : { id }
}
