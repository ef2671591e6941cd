import { REFUSED_RETRY_MS } from '../constants.js'
import { setTimeout as sleep } from 'node:timers/promises'
import { isDeepStrictEqual } from 'node:util'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import { createSourceFollower } from '../sources/createSourceFollower.js'
import type { KeyedStore } from '../sources/keyedStore.js'
import type { HarmfulTrait } from './harmfulTrait.js'
import type { StoredHarmfulTrait } from './storedHarmfulTrait.js'

/** Options for {@link createHarmfulTraitStorage}. */
export interface HarmfulTraitStorageOptions {
  readonly store: KeyedStore<StoredHarmfulTrait>
  readonly logRestores: LogRestores
  readonly records: SharedRecords
  /** Milliseconds after the last crash for which a harmful trait is refused. */
  readonly lifetimeMs: number
  /** Whether a live peer passes on what it knows. */
  readonly hasPeers: () => boolean
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Keeps harmful traits in the log, where they outlive all routers. */
export interface HarmfulTraitStorage {
  save(trait: HarmfulTrait): void
  remove(trait: string): void
  stop(): void
}

/** Milliseconds between two attempts to write, and between two polls of a router without peers. */
const RETRY_MS = 1_000

/** Starts to read the stored traits into the records of the fleet. */
export function createHarmfulTraitStorage(
  options: HarmfulTraitStorageOptions,
): HarmfulTraitStorage {
  const { store, logRestores, records, lifetimeMs, now } = options
  const stopping = new AbortController()
  const { signal } = stopping
  const saved = new Map<string, StoredHarmfulTrait>()
  /** Traits to be written; without a value they are removed. */
  const unwritten = new Map<string, StoredHarmfulTrait | undefined>()
  let isWriting = false

  function publish(
    trait: string,
    { common, untilMs }: StoredHarmfulTrait,
  ): void {
    const isKnown = records
      .list(RecordKind.HarmfulTrait)
      .some(({ key }) => key === trait)
    const remainingMs = Math.min(lifetimeMs, untilMs - Date.now())
    if (isKnown || remainingMs <= 0) return
    const lastCrashAtMs = now() + remainingMs - lifetimeMs
    records.publish(RecordKind.HarmfulTrait, trait, common, lastCrashAtMs)
  }

  async function write(): Promise<void> {
    if (isWriting) return
    isWriting = true
    while (unwritten.size > 0 && !signal.aborted) {
      for (const [trait, value] of [...unwritten]) {
        const isConfirmed = value
          ? await store.put(trait, value)
          : await store.remove(trait)
        if (isConfirmed && unwritten.get(trait) === value)
          unwritten.delete(trait)
      }
      if (unwritten.size > 0)
        await sleep(RETRY_MS, undefined, { signal }).catch(() => undefined)
    }
    isWriting = false
  }

  // The log may have lost what was written shortly before.
  logRestores.onRestore(() => {
    for (const [trait, value] of saved) unwritten.set(trait, value)
    void write()
  })

  const follower = createSourceFollower({
    source: store,
    pollIntervalMs: RETRY_MS,
    logRestores,
    hasFreshReader: options.hasPeers,
    outageRetryMs: () => (options.hasPeers() ? REFUSED_RETRY_MS : RETRY_MS),
    now,
    onListing(values) {
      for (const [trait, value] of values) publish(trait, value)
    },
    onEntry({ key, value }) {
      if (value) publish(key, value)
    },
  })

  return {
    save({ trait, common, lastCrashAtMs }) {
      if (isDeepStrictEqual(saved.get(trait)?.common, common)) return
      const untilMs = Date.now() + lastCrashAtMs + lifetimeMs - now()
      saved.set(trait, { common, untilMs })
      unwritten.set(trait, saved.get(trait))
      void write()
    },
    remove(trait) {
      saved.delete(trait)
      unwritten.set(trait, undefined)
      void write()
    },
    stop() {
      stopping.abort()
      follower.stop()
    },
  }
}
