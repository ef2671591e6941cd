import type { ActiveConfiguration } from '../configuration/createConfigurationStore.js'
import { isResumable } from './isResumable.js'

/** A caller may wait longer than the route's timeout, and resumes until its own deadline. */
const TIMEOUT_MULTIPLE = 2

/**
 * Returns a lookup of the milliseconds for which callers may still resume a
 * stream. It never decreases: streams may have begun under an earlier configuration.
 */
export function createStreamLifetime(
  current: () => ActiveConfiguration | undefined,
): () => number {
  let computedFor: ActiveConfiguration | undefined
  let lifetimeMs = 0
  return () => {
    const active = current()
    if (!active || active === computedFor) return lifetimeMs
    computedFor = active
    for (const route of active.configuration.routes)
      if (isResumable(route))
        lifetimeMs = Math.max(lifetimeMs, TIMEOUT_MULTIPLE * route.timeoutMs)
    return lifetimeMs
  }
}
