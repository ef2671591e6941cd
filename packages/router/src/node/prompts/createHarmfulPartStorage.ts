import { setTimeout as sleep } from 'node:timers/promises'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import { createSourceFollower } from '../sources/createSourceFollower.js'
import type { KeyedStore } from '../sources/keyedStore.js'
import type { HarmfulPart } from './harmfulPart.js'
import type { StoredHarmfulPart } from './storedHarmfulPart.js'

/** Options for {@link createHarmfulPartStorage}. */
export interface HarmfulPartStorageOptions {
  readonly store: KeyedStore<StoredHarmfulPart>
  readonly logRestores: LogRestores
  readonly records: SharedRecords
  /** Milliseconds after the last crash for which a harmful part is refused. */
  readonly lifetimeMs: number
  /** Whether a live peer passes on what it knows. */
  readonly hasPeers: () => boolean
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Keeps harmful parts in the log, where they outlive all routers. */
export interface HarmfulPartStorage {
  save(part: HarmfulPart): void
  remove(part: string): void
  stop(): void
}

/** Milliseconds between two attempts to write, and between two polls of a router without peers. */
const RETRY_MS = 1_000

/** Starts to read the stored parts into the records of the fleet. */
export function createHarmfulPartStorage(
  options: HarmfulPartStorageOptions,
): HarmfulPartStorage {
  const { store, logRestores, records, lifetimeMs, now } = options
  const stopping = new AbortController()
  const { signal } = stopping
  const saved = new Map<string, StoredHarmfulPart>()
  /** Parts to be written; without a value they are removed. */
  const unwritten = new Map<string, StoredHarmfulPart | undefined>()
  let isWriting = false

  function publish(part: string, { common, untilMs }: StoredHarmfulPart): void {
    const isKnown = records
      .list(RecordKind.HarmfulPart)
      .some(({ key }) => key === part)
    const remainingMs = Math.min(lifetimeMs, untilMs - Date.now())
    if (isKnown || remainingMs <= 0) return
    const lastCrashAtMs = now() + remainingMs - lifetimeMs
    records.publish(RecordKind.HarmfulPart, part, common, lastCrashAtMs)
  }

  async function write(): Promise<void> {
    if (isWriting) return
    isWriting = true
    while (unwritten.size > 0 && !signal.aborted) {
      for (const [part, value] of [...unwritten]) {
        const isConfirmed = value
          ? await store.put(part, value)
          : await store.remove(part)
        if (isConfirmed && unwritten.get(part) === value) unwritten.delete(part)
      }
      if (unwritten.size > 0)
        await sleep(RETRY_MS, undefined, { signal }).catch(() => undefined)
    }
    isWriting = false
  }

  // The log may have lost what was written shortly before.
  logRestores.onRestore(() => {
    for (const [part, value] of saved) unwritten.set(part, value)
    void write()
  })

  const follower = createSourceFollower({
    source: store,
    pollIntervalMs: RETRY_MS,
    logRestores,
    hasFreshReader: options.hasPeers,
    hasRetryingPeer: () => true,
    now,
    onListing(values) {
      for (const [part, value] of values) publish(part, value)
    },
    onEntry({ key, value }) {
      if (value) publish(key, value)
    },
  })

  return {
    save({ part, common, lastCrashAtMs }) {
      // The common parts only become fewer.
      if (saved.get(part)?.common.length === common.length) return
      const untilMs = Date.now() + lastCrashAtMs + lifetimeMs - now()
      saved.set(part, { common, untilMs })
      unwritten.set(part, saved.get(part))
      void write()
    },
    remove(part) {
      saved.delete(part)
      unwritten.set(part, undefined)
      void write()
    },
    stop() {
      stopping.abort()
      follower.stop()
    },
  }
}
