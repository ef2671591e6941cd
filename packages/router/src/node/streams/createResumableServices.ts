import type { ActiveConfiguration } from '../configuration/createConfigurationStore.js'
import { isResumable } from './isResumable.js'

/** Returns a lookup of the services whose streams callers may resume; empty without a configuration. */
export function createResumableServices(
  current: () => ActiveConfiguration | undefined,
): () => readonly string[] {
  let computedFor: ActiveConfiguration | undefined
  let names: readonly string[] = []
  return () => {
    const active = current()
    if (!active || active === computedFor) return names
    computedFor = active
    const resumable = active.configuration.routes.filter(isResumable)
    names = [
      ...new Set(
        resumable.flatMap(({ services }) =>
          services.map(({ service }) => service),
        ),
      ),
    ]
    return names
  }
}
