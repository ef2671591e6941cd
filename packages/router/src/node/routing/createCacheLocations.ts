import { LRUCache } from 'lru-cache'

/** A target that caches a prompt, and when this router learnt of it. */
interface CacheTarget {
  readonly id: string
  readonly knownAtMs: number
}

/** The affinity key of a prompt and the id of a target that caches it. */
export type CacheLocation = readonly [key: string, targetId: string]

/** Targets that cache each prompt, from this router's requests and its peers' digests. */
export interface CacheLocations {
  /** Records that this router sent a prompt to a target. */
  add(key: string, targetId: string): void
  /** Removes a target that did not run the prompt's request. */
  remove(key: string, targetId: string): void
  /** Adds locations that a peer reported. */
  merge(locations: readonly CacheLocation[]): void
  /** Returns the ids of the targets that cache a prompt, the latest first. */
  cachedOn(key: string): readonly string[]
  /** Returns the milliseconds since this router learnt that a target caches a prompt; infinite if it has not. */
  knownForMs(key: string, targetId: string): number
  /** Returns locations added by this router that were not returned before. */
  takeUpdates(): CacheLocation[]
  /** Returns every location, the latest of each prompt last. */
  all(): CacheLocation[]
}

/** Targets remembered for one prompt. */
const MAX_TARGETS_PER_PROMPT = 3
/** Locations that are reported to peers at a time. */
const MAX_UPDATES = 200
/** Locations queued for peers; further ones are not reported. */
const MAX_QUEUED_UPDATES = 2_000

/**
 * Creates an empty table of cache locations.
 * @param maxKeys Prompts that are remembered; the least recently used are evicted.
 * @param now Monotonic clock, in milliseconds.
 */
export function createCacheLocations(
  maxKeys: number,
  now: () => number,
): CacheLocations {
  const byKey = new LRUCache<string, readonly CacheTarget[]>({ max: maxKeys })
  const updates = new Map<string, string>()

  function addLocation(key: string, targetId: string): void {
    const known = byKey.get(key) ?? []
    if (known[0]?.id === targetId) return
    const target = known.find(({ id }) => id === targetId)
    const others = known.filter((other) => other !== target)
    const latest = target ?? { id: targetId, knownAtMs: now() }
    byKey.set(key, [latest, ...others].slice(0, MAX_TARGETS_PER_PROMPT))
  }

  return {
    add(key, targetId) {
      addLocation(key, targetId)
      if (updates.size < MAX_QUEUED_UPDATES) updates.set(key, targetId)
    },
    remove(key, targetId) {
      const others = (byKey.get(key) ?? []).filter(({ id }) => id !== targetId)
      if (others.length > 0) byKey.set(key, others)
      else byKey.delete(key)
      if (updates.get(key) === targetId) updates.delete(key)
    },
    merge(locations) {
      for (const [key, targetId] of locations) addLocation(key, targetId)
    },
    cachedOn: (key) => (byKey.get(key) ?? []).map(({ id }) => id),
    knownForMs(key, targetId) {
      const target = byKey.get(key)?.find(({ id }) => id === targetId)
      return target ? now() - target.knownAtMs : Infinity
    },
    takeUpdates() {
      const taken = [...updates].slice(0, MAX_UPDATES)
      for (const [key] of taken) updates.delete(key)
      return taken
    },
    all() {
      const all: CacheLocation[] = []
      for (const [key, targets] of byKey.entries())
        for (const { id } of targets.toReversed()) all.push([key, id])
      return all
    },
  }
}
