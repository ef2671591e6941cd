/** One event of an engine's prompt cache, as it is published. */
export interface PublishedCacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'evicted'
  readonly chat: string
  readonly atMs: number
}

/** The events of a prompt cache, with fault switches. */
export interface CacheEvents {
  /** Milliseconds until an event is shown. */
  lagMs: number
  /** Events to lose from now on, which leaves a gap. */
  loseNext: number
  add(kind: PublishedCacheEvent['kind'], chat: string): void
  /** Events from a sequence number on that may be shown now. */
  from(sequence: number): readonly PublishedCacheEvent[]
}

const MAX_KEPT = 10_000

/** Creates an empty record of events. */
export function createCacheEvents(now: () => number): CacheEvents {
  const events: PublishedCacheEvent[] = []
  let next = 0
  return {
    lagMs: 0,
    loseNext: 0,
    add(kind, chat) {
      const sequence = next
      next += 1
      if (this.loseNext > 0) {
        this.loseNext -= 1
        return
      }
      events.push({ sequence, kind, chat, atMs: now() })
      if (events.length > MAX_KEPT) events.shift()
    },
    from(sequence) {
      const shownMs = now() - this.lagMs
      return events.filter(
        (event) => event.sequence >= sequence && event.atMs <= shownMs,
      )
    },
  }
}
