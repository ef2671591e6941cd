import { streamKeyOf, type StreamVersion } from './streamVersion.js'

/** A stream and the software version of the target that it is sent to. */
export interface SentStream {
  readonly attemptId: string
  readonly service: string
  readonly softwareVersion: string
}

/** Software versions that began streams, from this router and its peers. */
export interface StreamVersions {
  /**
   * Records a stream that this router sends to a target, or that a peer relays.
   * @param isOwn Whether its caller is connected to this router, which then knows best.
   */
  record(stream: SentStream, isOwn: boolean, nowMs: number): void
  /** Adds streams of peers, other than those whose callers are connected to this router. */
  merge(streams: readonly StreamVersion[], nowMs: number): void
  /** Returns the version that began the stream of an attempt; undefined if it is unknown. */
  find(attemptId: string, nowMs: number): string | undefined
  /** Returns this router's streams that peers need and that were not returned before. */
  takeUpdates(nowMs: number): StreamVersion[]
  /** Returns streams that the log needs and that {@link StreamVersions.markStored} has not named, up to a limit. */
  findUnstored(nowMs: number): StreamVersion[]
  /** Records that the log has streams. */
  markStored(streams: readonly StreamVersion[]): void
  /** Returns every stream. */
  all(nowMs: number): StreamVersion[]
}

/** Options for {@link createStreamVersions}. */
export interface StreamVersionsOptions {
  /** Returns the milliseconds for which a caller may still resume a stream. */
  readonly lifetimeMs: () => number
  /** Whether peers cannot tell the version of a service's streams by themselves. */
  readonly isNeeded: (service: string) => boolean
}

interface Entry {
  readonly softwareVersion: string
  readonly recordedAtMs: number
  readonly isOwn: boolean
  /** Absent if a peer reported the stream, as it does only if that is needed. */
  readonly service?: string
  isStored: boolean
}

interface OwnEntry extends Entry {
  readonly service: string
}

/** Streams that are remembered, at about 100 bytes each. */
const MAX_STREAMS = 20_000
/** Streams that are reported to peers at a time. */
const MAX_UPDATES = 500
/** Streams that are stored at a time, at about 20 bytes each; a record of the log has 256 KiB. */
const MAX_STORED_AT_ONCE = 5_000

/** Creates an empty table. */
export function createStreamVersions(
  options: StreamVersionsOptions,
): StreamVersions {
  const { lifetimeMs, isNeeded } = options
  // Both are in the order in which their entries were recorded.
  const streams = new Map<number, Entry>()
  const unreported = new Map<number, OwnEntry>()

  function removeOld(entries: Map<number, Entry>, nowMs: number): void {
    const oldestMs = nowMs - lifetimeMs()
    for (const [key, { recordedAtMs }] of entries) {
      if (recordedAtMs >= oldestMs && entries.size <= MAX_STREAMS) return
      entries.delete(key)
    }
  }

  function add<T extends Entry>(
    entries: Map<number, T>,
    key: number,
    entry: T,
  ): void {
    entries.delete(key)
    entries.set(key, entry)
    removeOld(entries, entry.recordedAtMs)
  }

  return {
    record({ attemptId, service, softwareVersion }, isOwn, nowMs) {
      const key = streamKeyOf(attemptId)
      const entry = {
        service,
        softwareVersion,
        isOwn,
        recordedAtMs: nowMs,
        isStored: false,
      }
      add(streams, key, entry)
      add(unreported, key, entry)
    },
    merge(received, nowMs) {
      for (const [key, softwareVersion] of received) {
        const known = streams.get(key)
        if (known?.isOwn) continue
        // A stream that was sent again at another version is stored again.
        const isStored =
          known?.softwareVersion === softwareVersion && known.isStored
        const entry = { softwareVersion, isOwn: false, isStored }
        add(streams, key, { ...entry, recordedAtMs: nowMs })
      }
    },
    find(attemptId, nowMs) {
      removeOld(streams, nowMs)
      return streams.get(streamKeyOf(attemptId))?.softwareVersion
    },
    takeUpdates(nowMs) {
      removeOld(unreported, nowMs)
      const updates: StreamVersion[] = []
      for (const [key, { service, softwareVersion }] of unreported) {
        if (updates.length === MAX_UPDATES) break
        if (!isNeeded(service)) continue
        unreported.delete(key)
        updates.push([key, softwareVersion])
      }
      return updates
    },
    findUnstored(nowMs) {
      removeOld(streams, nowMs)
      const unstored: StreamVersion[] = []
      for (const [key, { isStored, service, softwareVersion }] of streams) {
        if (unstored.length === MAX_STORED_AT_ONCE) break
        if (isStored || (service !== undefined && !isNeeded(service))) continue
        unstored.push([key, softwareVersion])
      }
      return unstored
    },
    markStored(stored) {
      for (const [key] of stored) {
        const entry = streams.get(key)
        if (entry) entry.isStored = true
      }
    },
    all(nowMs) {
      removeOld(streams, nowMs)
      return [...streams].map(([key, entry]) => [key, entry.softwareVersion])
    },
  }
}
