import { LRUCache } from 'lru-cache'
import { hash32 } from '../hash/hash32.js'
import { type CacheEvent, CacheEventKind } from './cacheEvent.js'

/** Index of the target that caches each chat, built from cache events. */
export interface CacheLocationIndex {
  /** Returns the next expected sequence number of a target. */
  nextSequence(targetId: string): number
  /** Applies events in order; a gap invalidates all entries of the target. */
  apply(targetId: string, events: readonly CacheEvent[]): void
  /** Returns the target that caches the chat according to the events. */
  cachedOn(chat: string): string | undefined
  /** Number of indexed chats, invalidated ones included. */
  readonly size: number
}

interface TargetProgress {
  nextSequence: number
  /** Entries of an older generation are invalid. */
  generation: number
}

interface LocationEntry {
  readonly targetId: string
  readonly generation: number
}

/** Creates an index of at most `maxChats` chats. */
export function createCacheLocationIndex(maxChats: number): CacheLocationIndex {
  const entries = new LRUCache<number, LocationEntry>({ max: maxChats })
  const progressByTarget = new Map<string, TargetProgress>()

  function progressOf(targetId: string): TargetProgress {
    const known = progressByTarget.get(targetId)
    if (known) return known
    const created = { nextSequence: 0, generation: 0 }
    progressByTarget.set(targetId, created)
    return created
  }

  function applyOne(
    targetId: string,
    progress: TargetProgress,
    event: CacheEvent,
  ): void {
    if (event.sequence < progress.nextSequence) return
    if (event.sequence > progress.nextSequence) progress.generation += 1
    progress.nextSequence = event.sequence + 1
    const key = hash32(event.chat)
    if (event.kind === CacheEventKind.Stored)
      entries.set(key, { targetId, generation: progress.generation })
    else if (entries.peek(key)?.targetId === targetId) entries.delete(key)
  }

  return {
    nextSequence: (targetId) => progressOf(targetId).nextSequence,
    apply(targetId, events) {
      const progress = progressOf(targetId)
      for (const event of events) applyOne(targetId, progress, event)
    },
    cachedOn(chat) {
      const entry = entries.get(hash32(chat))
      if (!entry) return undefined
      return progressOf(entry.targetId).generation === entry.generation
        ? entry.targetId
        : undefined
    },
    get size() {
      return entries.size
    },
  }
}
