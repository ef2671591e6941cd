/** Event of an engine's prompt cache, as published. */
export interface PublishedCacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly chat: string
  readonly atMs: number
}

/** Events of a prompt cache, with injectable faults. */
export interface CacheEvents {
  /** Delay until an event becomes visible, in milliseconds. */
  lagMs: number
  /** Number of coming events to drop, which leaves gaps in the sequence. */
  loseNext: number
  /** Records an event under the next sequence number. */
  record(kind: PublishedCacheEvent['kind'], chat: string): void
  /** Returns the visible events from a sequence number on. */
  readFrom(sequence: number): readonly PublishedCacheEvent[]
}

const MAX_EVENTS = 10_000

/** Creates an empty list of cache events. */
export function createCacheEvents(now: () => number): CacheEvents {
  const events: PublishedCacheEvent[] = []
  let nextSequence = 0
  return {
    lagMs: 0,
    loseNext: 0,
    record(kind, chat) {
      const sequence = nextSequence
      nextSequence += 1
      if (this.loseNext > 0) {
        this.loseNext -= 1
        return
      }
      events.push({ sequence, kind, chat, atMs: now() })
      if (events.length > MAX_EVENTS) events.shift()
    },
    readFrom(sequence) {
      const visibleUntilMs = now() - this.lagMs
      return events.filter(
        (event) => event.sequence >= sequence && event.atMs <= visibleUntilMs,
      )
    },
  }
}
