import { hash32 } from '@auburnbay/core/hash/hash32'
import type { RecordKind, SharedRecord } from './sharedRecord.js'

/** Options for {@link createSharedRecords}. */
export interface SharedRecordsOptions {
  /** Incarnation of this router. */
  readonly origin: string
  /** Milliseconds after which a record is forgotten. */
  readonly lifetimeMs: number
  /** Called when there are records to send. */
  readonly onUpdate: () => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/**
 * Facts that one router observes and that bind every router of the fleet. Each
 * router passes on what it learns once, so that a fact passes around a cut, and
 * a restarted router gets all of them from any peer.
 */
export interface SharedRecords {
  /** Publishes a fact that this router observed at `observedAtMs`. */
  publish(
    kind: RecordKind,
    key: string,
    value: readonly string[],
    observedAtMs: number,
  ): void
  /** Adds records of peers. */
  merge(received: readonly SharedRecord[]): void
  /** Returns the records of a kind, in the order in which they were added. */
  list(kind: RecordKind): SharedRecord[]
  /** Returns records that were not returned before, up to a limit. */
  takeUpdates(): SharedRecord[]
  all(): SharedRecord[]
  /** Hash of all records, to compare them with those of others. */
  fingerprint(): number
  /** Calls `listener` after records of a kind were added. */
  onChange(kind: RecordKind, listener: () => void): void
}

/** Records that are remembered, at about 300 bytes each. */
const MAX_RECORDS = 10_000
/** Size of the records that are sent at a time, in bytes; they share a datagram of 64 KiB with other updates. */
const MAX_UPDATE_BYTES = 8 * 1024
/** Bytes of a record beside its key and value. */
const RECORD_OVERHEAD_BYTES = 40

function idOf({ origin, kind, key }: SharedRecord): string {
  return JSON.stringify([origin, kind, key])
}

function bytesOf({ key, value }: SharedRecord): number {
  let bytes = RECORD_OVERHEAD_BYTES + key.length
  for (const text of value) bytes += text.length + 1
  return bytes
}

/** Creates an empty set of records. */
export function createSharedRecords(
  options: SharedRecordsOptions,
): SharedRecords {
  const { origin, lifetimeMs, onUpdate, now } = options
  // Both are in the order in which their records were added.
  const records = new Map<string, SharedRecord>()
  const unsent = new Map<string, SharedRecord>()
  const listeners = new Map<string, (() => void)[]>()
  let sequence = 0
  let fingerprint = 0

  /** Adds or removes the hash of a record; the order of records has no effect. */
  function toggle(id: string, record: SharedRecord): void {
    fingerprint = (fingerprint ^ hash32(id, record.sequence)) >>> 0
  }

  function remove(id: string): void {
    const record = records.get(id)
    if (!record) return
    records.delete(id)
    unsent.delete(id)
    toggle(id, record)
  }

  function removeOld(): void {
    const oldestMs = now() - lifetimeMs
    for (const [id, { observedAtMs }] of records) {
      if (observedAtMs >= oldestMs && records.size <= MAX_RECORDS) return
      remove(id)
    }
  }

  /** Returns whether the record is new. */
  function add(record: SharedRecord): boolean {
    const id = idOf(record)
    const known = records.get(id)
    if (known && known.sequence >= record.sequence) return false
    if (record.observedAtMs < now() - lifetimeMs) return false
    remove(id)
    records.set(id, record)
    unsent.set(id, record)
    toggle(id, record)
    removeOld()
    return true
  }

  function notify(kinds: ReadonlySet<string>): void {
    if (kinds.size === 0) return
    onUpdate()
    for (const kind of kinds)
      for (const listener of listeners.get(kind) ?? []) listener()
  }

  return {
    publish(kind, key, value, observedAtMs) {
      sequence += 1
      add({ origin, sequence, kind, key, value, observedAtMs })
      notify(new Set([kind]))
    },
    merge(received) {
      const kinds = new Set<string>()
      for (const record of received)
        if (record.origin !== origin && add(record)) kinds.add(record.kind)
      notify(kinds)
    },
    list(kind) {
      removeOld()
      const wanted: string = kind
      return [...records.values()].filter((record) => record.kind === wanted)
    },
    takeUpdates() {
      const updates: SharedRecord[] = []
      let bytes = 0
      for (const [id, record] of unsent) {
        bytes += bytesOf(record)
        if (bytes > MAX_UPDATE_BYTES && updates.length > 0) break
        unsent.delete(id)
        updates.push(record)
      }
      return updates
    },
    all() {
      removeOld()
      return [...records.values()]
    },
    fingerprint() {
      removeOld()
      return fingerprint
    },
    onChange(kind, listener) {
      listeners.set(kind, [...(listeners.get(kind) ?? []), listener])
    },
  }
}
