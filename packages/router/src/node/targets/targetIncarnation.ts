import type { Target } from './target.js'

/** Returns what identifies one start of a target; a target may start again under its id. */
export function targetIncarnation({ id, startedAtMs }: Target): string {
  return startedAtMs === undefined ? id : `${id}/${startedAtMs}`
}
