import type { ActiveConfiguration } from '../configuration/createConfigurationStore.js'
import { isResumable } from './isResumable.js'

/** Lifetime before a configuration is loaded, in milliseconds. */
const DEFAULT_LIFETIME_MS = 60_000
/** A caller may wait longer than the route's timeout, and resumes until its own deadline. */
const TIMEOUT_MULTIPLE = 2

/** Returns a lookup of the milliseconds for which callers may still resume a stream. */
export function createStreamLifetime(
  current: () => ActiveConfiguration | undefined,
): () => number {
  let computedFor: ActiveConfiguration | undefined
  let lifetimeMs = DEFAULT_LIFETIME_MS
  return () => {
    const active = current()
    if (!active || active === computedFor) return lifetimeMs
    computedFor = active
    const timeouts = active.configuration.routes
      .filter(isResumable)
      .map(({ timeoutMs }) => timeoutMs)
    lifetimeMs = TIMEOUT_MULTIPLE * Math.max(0, ...timeouts)
    return lifetimeMs
  }
}
