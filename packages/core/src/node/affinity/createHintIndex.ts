import { LRUCache } from 'lru-cache'
import { hash32 } from '../hash/hash32.js'
import { type CacheEvent, CacheEventKind } from './cacheEvent.js'

/** Remembers which target holds a chat, from the targets' cache events. */
export interface HintIndex {
  /** Next sequence number wanted from a target. */
  nextSequence(targetId: string): number
  /** Takes in events in order; a gap clears what was known of the target. */
  apply(targetId: string, events: readonly CacheEvent[]): void
  /** Target that holds the chat, as far as the events tell. */
  targetOf(chat: string): string | undefined
  readonly size: number
}

interface TargetLog {
  next: number
  /** Entries of an older generation are void. */
  generation: number
}

interface Held {
  readonly targetId: string
  readonly generation: number
}

/** Creates an index of at most `maxChats` chats. */
export function createHintIndex(maxChats: number): HintIndex {
  const held = new LRUCache<number, Held>({ max: maxChats })
  const logs = new Map<string, TargetLog>()

  function logOf(targetId: string): TargetLog {
    const known = logs.get(targetId)
    if (known) return known
    const created = { next: 0, generation: 0 }
    logs.set(targetId, created)
    return created
  }

  function applyOne(targetId: string, log: TargetLog, event: CacheEvent): void {
    if (event.sequence < log.next) return
    if (event.sequence > log.next) log.generation += 1
    log.next = event.sequence + 1
    const key = hash32(event.chat)
    if (event.kind === CacheEventKind.Stored)
      held.set(key, { targetId, generation: log.generation })
    else if (held.peek(key)?.targetId === targetId) held.delete(key)
  }

  return {
    nextSequence: (targetId) => logOf(targetId).next,
    apply(targetId, events) {
      const log = logOf(targetId)
      for (const event of events) applyOne(targetId, log, event)
    },
    targetOf(chat) {
      const found = held.get(hash32(chat))
      if (!found) return undefined
      return logOf(found.targetId).generation === found.generation
        ? found.targetId
        : undefined
    },
    get size() {
      return held.size
    },
  }
}
