import { LRUCache } from 'lru-cache'

/** Targets that hold one prompt, the latest first. */
type Holders = readonly string[]

/** A prompt, by its affinity key, and a target that now holds it. */
export type CacheLocation = readonly [key: string, targetId: string]

/** Where prompts are cached, as far as routers told each other. */
export interface CacheLocations {
  /** Notes that this router sent a prompt to a target. */
  add(key: string, targetId: string): void
  /** Notes that a target did not get a prompt after all. */
  remove(key: string, targetId: string): void
  /** Takes in what a peer placed. */
  merge(placements: readonly CacheLocation[]): void
  /** Returns the targets that hold a prompt, the latest first. */
  cachedOn(key: string): Holders
  /** Returns what this router placed since the last call. */
  takeUpdates(): CacheLocation[]
  /** Returns the latest holder of every prompt. */
  all(): CacheLocation[]
}

/** Targets that are remembered for one prompt. */
const MAX_HOLDERS = 3
/** Placements that wait to be told at most; the rest is not told. */
const MAX_NEWS = 200

/**
 * Creates an empty memory.
 * @param maxKeys Prompts that are remembered; the least recently used are forgotten.
 */
export function createCacheLocations(maxKeys: number): CacheLocations {
  const byKey = new LRUCache<string, Holders>({ max: maxKeys })
  let news = new Map<string, string>()

  function add(key: string, targetId: string): void {
    const known = byKey.get(key) ?? []
    if (known[0] === targetId) return
    const others = known.filter((id) => id !== targetId)
    byKey.set(key, [targetId, ...others].slice(0, MAX_HOLDERS))
  }

  return {
    add(key, targetId) {
      add(key, targetId)
      if (news.size < MAX_NEWS) news.set(key, targetId)
    },
    remove(key, targetId) {
      const others = (byKey.get(key) ?? []).filter((id) => id !== targetId)
      if (others.length > 0) byKey.set(key, others)
      else byKey.delete(key)
      if (news.get(key) === targetId) news.delete(key)
    },
    merge(placements) {
      for (const [key, targetId] of placements) add(key, targetId)
    },
    cachedOn: (key) => byKey.get(key) ?? [],
    takeUpdates() {
      const taken = [...news]
      news = new Map()
      return taken
    },
    all() {
      const all: CacheLocation[] = []
      for (const [key, [latest]] of byKey.entries())
        if (latest !== undefined) all.push([key, latest])
      return all
    },
  }
}
