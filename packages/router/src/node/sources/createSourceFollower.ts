import { setTimeout as sleep } from 'node:timers/promises'
import type { KeyedSource, SourceEntry } from './keyedSource.js'
import { SourceFault } from './sourceFault.js'

/** Milliseconds between two tries while a source does not answer, and between two looks at whether peers still read it. */
const RETRY_MS = 250

/** What a follower works with. */
export interface SourceFollowerOptions<T> {
  readonly source: KeyedSource<T>
  /** Milliseconds between two readings. */
  readonly pollIntervalMs: number
  /** Steady clock, in milliseconds. */
  readonly now: () => number
  /** Whether a peer reads for this router; it then reads only once. */
  readonly hasFreshReader?: () => boolean
  readonly onListing: (values: ReadonlyMap<string, T>) => void
  readonly onEntry: (entry: SourceEntry<T>) => void
  /** Called after each answer of the source, once its changes are taken in. */
  readonly onRead?: () => void
  readonly onUnavailable?: (fault: SourceFault) => void
  /** Called before the first changes after an outage, with its length. */
  readonly onRecovered?: (lostMs: number) => void
}

/** Reads a source again and again. */
export interface SourceFollower {
  /** Milliseconds since the source last answered this router; infinite before the first time. */
  lastPollAgeMs(): number
  stop(): void
}

/** Starts to follow a source. */
export function createSourceFollower<T>(
  options: SourceFollowerOptions<T>,
): SourceFollower {
  const { source, now, onListing, onEntry } = options
  const stopping = new AbortController()
  const { signal } = stopping
  let end: number | undefined
  let readAtMs = -Infinity
  let lostSinceMs: number | undefined

  function answered(): void {
    readAtMs = now()
    if (lostSinceMs === undefined) return
    options.onRecovered?.(readAtMs - lostSinceMs)
    lostSinceMs = undefined
  }

  function failed(fault: SourceFault): void {
    if (fault === SourceFault.Trimmed) {
      end = undefined
      return
    }
    if (lostSinceMs !== undefined) return
    lostSinceMs = now()
    options.onUnavailable?.(fault)
  }

  async function list(): Promise<boolean> {
    const listing = await source.list()
    if (listing.isErr()) {
      failed(listing.error)
      return false
    }
    answered()
    end = listing.value.end
    onListing(listing.value.values)
    options.onRead?.()
    return true
  }

  async function readOn(from: number): Promise<boolean> {
    const page = await source.read(from)
    if (page.isErr()) {
      failed(page.error)
      return page.error === SourceFault.Trimmed
    }
    answered()
    // An end before the offset means that another history stands there now.
    end = page.value.end < from ? undefined : page.value.end
    // Only the last change of a key counts; earlier ones are long past.
    const last = new Map(page.value.entries.map((entry) => [entry.key, entry]))
    for (const entry of last.values()) onEntry(entry)
    options.onRead?.()
    return true
  }

  async function readOnce(): Promise<number> {
    if (end === undefined)
      return (await list()) ? options.pollIntervalMs : RETRY_MS
    if (options.hasFreshReader?.()) return RETRY_MS
    return (await readOn(end)) ? options.pollIntervalMs : RETRY_MS
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const pauseMs = await readOnce()
      await sleep(pauseMs, undefined, { signal }).catch(() => undefined)
    }
  }

  void run()
  return {
    lastPollAgeMs: () => now() - readAtMs,
    stop: () => {
      stopping.abort()
    },
  }
}
