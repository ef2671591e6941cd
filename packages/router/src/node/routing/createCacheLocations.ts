import { LRUCache } from 'lru-cache'

/** Ids of the targets that cache one prompt, the latest first. */
type CacheTargets = readonly string[]

/** The affinity key of a prompt and the id of a target that caches it. */
export type CacheLocation = readonly [key: string, targetId: string]

/** Targets that cache each prompt, from this router's requests and its peers' digests. */
export interface CacheLocations {
  /** Records that this router sent a prompt to a target. */
  add(key: string, targetId: string): void
  /** Removes a target that did not run the prompt's request. */
  remove(key: string, targetId: string): void
  /** Adds locations that a peer reported; returns those that this router did not know as the latest. */
  merge(locations: readonly CacheLocation[]): CacheLocation[]
  /** Returns the ids of the targets that cache a prompt, the latest first. */
  cachedOn(key: string): CacheTargets
  /** Returns the same without marking the prompt as used. */
  peekCachedOn(key: string): CacheTargets
  /** Returns locations added by this router that were not returned before. */
  takeUpdates(): CacheLocation[]
  /** Returns every location, the latest of each prompt last. */
  all(): CacheLocation[]
}

/** Targets remembered for one prompt. */
const MAX_TARGETS_PER_PROMPT = 3
/** Locations that are reported to peers at a time. */
const MAX_UPDATES = 500
/** Locations queued for peers; further ones are not reported. */
const MAX_QUEUED_UPDATES = 2_000

/**
 * Creates an empty table of cache locations.
 * @param maxKeys Prompts that are remembered; the least recently used are evicted.
 */
export function createCacheLocations(maxKeys: number): CacheLocations {
  const byKey = new LRUCache<string, CacheTargets>({ max: maxKeys })
  const updates = new Map<string, string>()

  /** Returns whether the location was not known as the latest of its prompt. */
  function addLocation(key: string, targetId: string): boolean {
    const known = byKey.get(key) ?? []
    if (known[0] === targetId) return false
    const others = known.filter((id) => id !== targetId)
    byKey.set(key, [targetId, ...others].slice(0, MAX_TARGETS_PER_PROMPT))
    return true
  }

  return {
    add(key, targetId) {
      if (!addLocation(key, targetId)) return
      if (updates.size < MAX_QUEUED_UPDATES) updates.set(key, targetId)
    },
    remove(key, targetId) {
      const others = (byKey.get(key) ?? []).filter((id) => id !== targetId)
      if (others.length > 0) byKey.set(key, others)
      else byKey.delete(key)
      if (updates.get(key) === targetId) updates.delete(key)
    },
    merge(locations) {
      return locations.filter(([key, targetId]) => addLocation(key, targetId))
    },
    cachedOn: (key) => byKey.get(key) ?? [],
    peekCachedOn: (key) => byKey.peek(key) ?? [],
    takeUpdates() {
      const taken = [...updates].slice(0, MAX_UPDATES)
      for (const [key] of taken) updates.delete(key)
      return taken
    },
    all() {
      const all: CacheLocation[] = []
      for (const [key, targets] of byKey.entries())
        for (const id of targets.toReversed()) all.push([key, id])
      return all
    },
  }
}
