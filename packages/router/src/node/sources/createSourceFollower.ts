import { setTimeout as sleepFor } from 'node:timers/promises'
import type { LogRestores } from './createLogRestores.js'
import type { KeyedSource, SourceEntry } from './keyedSource.js'
import { RETRY_MS } from './outageRetryMs.js'
import { SourceFault } from './sourceFault.js'

/** Options for {@link createSourceFollower}. */
export interface SourceFollowerOptions<T> {
  readonly source: KeyedSource<T>
  /** Milliseconds between two polls. */
  readonly pollIntervalMs: number
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /**
   * Resolves after some milliseconds on that clock, or when the signal aborts.
   * @default a timer
   */
  readonly sleep?: (ms: number, signal: AbortSignal) => Promise<void>
  /** Whether the process has paused since a time on that clock; never by default. */
  readonly hasPausedSince?: (sinceMs: number) => boolean
  /**
   * Milliseconds without a poll after which the source is listed, as the changes since then are more than its values.
   * @default Infinity
   */
  readonly listAfterMs?: number
  /** Whether a peer polls for this router, which then only lists the source once. */
  readonly hasFreshReader?: () => boolean
  /** Returns the age above which this router polls although a peer does, in milliseconds; infinite by default. */
  readonly maxAgeMs?: () => number
  /** Returns the milliseconds between two polls while the source is unavailable; RETRY_MS by default. */
  readonly outageRetryMs?: () => number
  /** Restores of the source's log, after which offsets are no longer valid. */
  readonly logRestores?: LogRestores
  /** Called with all values as of an offset of the log. */
  readonly onListing: (values: ReadonlyMap<string, T>, offset: number) => void
  /** Called with a change that precedes an offset of the log. */
  readonly onEntry: (entry: SourceEntry<T>, offset: number) => void
  /** Called after each successful poll without a pause of the process, once its changes are applied. */
  readonly onRead?: () => void
  readonly onUnavailable?: (fault: SourceFault) => void
  /** Called before the first changes after an outage, with its length in milliseconds. */
  readonly onRecovered?: (outageMs: number) => void
  /**
   * Called before the first changes after a time in which polls failed and no peer had
   * newer values either, with the age that the values had reached, in milliseconds.
   */
  readonly onGapEnded?: (ageMs: number) => void
}

/** Polls a source. */
export interface SourceFollower {
  /** Milliseconds since the last successful poll was sent, or the source was still waiting with it; infinite before the first, after a pause of the process and an invalidation. */
  lastPollAgeMs(): number
  /** Upper bound on the staleness of the values in milliseconds, from polls and from peers; infinite if unknown. */
  ageMs(): number
  /** Records that a peer had the values `ageMs` ago that are here, or are applied next. */
  confirm(ageMs: number): void
  /** Marks the values as stale until the source is polled again. */
  invalidate(): void
  /** Milliseconds since the source became unavailable; 0 while it is available. */
  outageMs(): number
  stop(): void
}

async function sleepWithTimer(ms: number, signal: AbortSignal): Promise<void> {
  await sleepFor(ms, undefined, { signal }).catch(() => undefined)
}

/** Starts to follow a source. */
export function createSourceFollower<T>(
  options: SourceFollowerOptions<T>,
): SourceFollower {
  const { source, now, onListing, onEntry, logRestores } = options
  const { sleep = sleepWithTimer, listAfterMs = Infinity } = options
  const hasPausedSince = options.hasPausedSince ?? (() => false)
  const stopping = new AbortController()
  const { signal } = stopping
  let nextOffset: number | undefined
  /** Time of `nextOffset`, in milliseconds. */
  let offsetAtMs = -Infinity
  /** Restore count for which `nextOffset` is valid. */
  let offsetRestores: number | undefined
  let lastPollAtMs = -Infinity
  let confirmedAtMs = -Infinity
  let mustPoll = false
  let outageStartMs: number | undefined
  let lastFaultAtMs = -Infinity

  function endGap(): void {
    const knownAtMs = Math.max(lastPollAtMs, confirmedAtMs)
    if (lastFaultAtMs > knownAtMs) options.onGapEnded?.(now() - knownAtMs)
  }

  function endOutage(): void {
    endGap()
    if (outageStartMs === undefined) return
    options.onRecovered?.(now() - outageStartMs)
    outageStartMs = undefined
  }

  /** Counts a poll, unless its response may have waited while the process was paused. */
  function countPoll(startedAtMs: number): void {
    if (hasPausedSince(startedAtMs)) return
    // The response says nothing of the time for which it was under way.
    lastPollAtMs = Math.min(now(), startedAtMs + (source.waitMs ?? 0))
    mustPoll = false
    options.onRead?.()
  }

  function onFault(fault: SourceFault): void {
    lastFaultAtMs = now()
    if (outageStartMs !== undefined) return
    outageStartMs = now()
    options.onUnavailable?.(fault)
  }

  function wasRestoredSince(restores: number | undefined): boolean {
    return restores !== undefined && logRestores?.count !== restores
  }

  function setNextOffset(offset: number): void {
    nextOffset = offset
    offsetAtMs = now()
    offsetRestores = logRestores?.count
  }

  async function list(): Promise<boolean> {
    const restores = logRestores?.count
    const startedAtMs = now()
    const listing = await source.list()
    if (listing.isErr()) {
      onFault(listing.error)
      return false
    }
    endOutage()
    // Its pages may come from before and after the restore.
    if (wasRestoredSince(restores)) return false
    setNextOffset(listing.value.nextOffset)
    onListing(listing.value.values, listing.value.nextOffset)
    countPoll(startedAtMs)
    return true
  }

  /** Reads the changes from an offset up to the end of the log, of which the log may return a part at a time. */
  async function readChanges(from: number): Promise<boolean> {
    const startedAtMs = now()
    // Only the last change of a key counts; earlier ones are superseded.
    const changes = new Map<string, SourceEntry<T>>()
    for (let offset = from; ;) {
      const page = await source.read(offset)
      if (page.isErr()) {
        if (page.error === SourceFault.Trimmed) return list()
        onFault(page.error)
        return false
      }
      endOutage()
      if (wasRestoredSince(offsetRestores)) {
        nextOffset = undefined
        return false
      }
      const { entries, nextOffset: next, endOffset = next } = page.value
      for (const entry of entries) changes.set(entry.key, entry)
      // The log was replaced by another one.
      if (next < from) return list()
      if (next >= endOffset) {
        setNextOffset(next)
        for (const entry of changes.values()) onEntry(entry, next)
        countPoll(startedAtMs)
        return true
      }
      if (next === offset) return false
      offset = next
    }
  }

  function lastPollAgeMs(): number {
    return mustPoll || hasPausedSince(lastPollAtMs)
      ? Infinity
      : now() - lastPollAtMs
  }

  function ageMs(): number {
    if (mustPoll) return Infinity
    return Math.min(lastPollAgeMs(), now() - confirmedAtMs)
  }

  /** Returns the milliseconds until the values are too old, if nobody confirms them. */
  const spareMs = (): number =>
    options.maxAgeMs ? options.maxAgeMs() - ageMs() : Infinity

  /** Whether a peer polls for this router, and what it reads arrives here. */
  function isCovered(): boolean {
    const hasFreshReader = options.hasFreshReader?.() ?? false
    return nextOffset !== undefined && hasFreshReader && spareMs() > 0
  }

  /** Polls once; resolves to a function that returns the milliseconds until the next poll, which may change meanwhile. */
  async function poll(): Promise<() => number> {
    if (wasRestoredSince(offsetRestores)) nextOffset = undefined
    const isRead =
      nextOffset === undefined || now() - offsetAtMs > listAfterMs
        ? await list()
        : await readChanges(nextOffset)
    return isRead ? () => options.pollIntervalMs : retryMs
  }

  function retryMs(): number {
    const isOut = outageStartMs !== undefined
    return isOut ? (options.outageRetryMs?.() ?? RETRY_MS) : RETRY_MS
  }

  /** Waits in steps: a router that may wait for a peer's poll must not wait longer than the peer polls. */
  async function pause(delayMs: () => number): Promise<void> {
    let waitedMs = 0
    do {
      const stepMs = Math.min(RETRY_MS, delayMs() - waitedMs)
      await sleep(stepMs, signal)
      waitedMs += RETRY_MS
    } while (!signal.aborted && waitedMs < delayMs())
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      if (isCovered()) await sleep(Math.min(RETRY_MS, spareMs()), signal)
      else await pause(await poll())
    }
  }

  void run()
  return {
    lastPollAgeMs,
    ageMs,
    confirm(confirmedAgeMs) {
      endGap()
      confirmedAtMs = Math.max(confirmedAtMs, now() - confirmedAgeMs)
    },
    invalidate() {
      mustPoll = true
      confirmedAtMs = -Infinity
    },
    outageMs: () => (outageStartMs === undefined ? 0 : now() - outageStartMs),
    stop: () => {
      stopping.abort()
    },
  }
}
