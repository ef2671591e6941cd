import { setTimeout as sleep } from 'node:timers/promises'
import { isDeepStrictEqual } from 'node:util'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import type { KeyedStore } from '../sources/keyedStore.js'
import type { ResumableStreams } from './createResumableStreams.js'
import type { StreamLog } from './streamLog.js'
import type { StoredVersions } from './storedVersions.js'

/** Options for {@link createVersionStorage}. */
export interface VersionStorageOptions {
  readonly store: KeyedStore<StoredVersions>
  readonly logRestores: LogRestores
  readonly streamLog: StreamLog
  readonly streams: Pick<
    ResumableStreams,
    'findUnstored' | 'markStored' | 'merge' | 'mergeStored' | 'recentVersions'
  >
  /** Returns the services whose streams callers may resume; empty until the router knows its configuration and targets. */
  readonly services: () => readonly string[]
  /** Whether this router writes for the fleet. */
  readonly isWriter: () => boolean
  readonly log: DecisionLog
}

/** Keeps software versions in the log, where they outlive all routers: those of services, and of streams where a service has several. */
export interface VersionStorage {
  stop(): void
}

/**
 * Milliseconds between two checks for changes: a version is stored well before
 * routers begin streams at it, see {@link VERSION_SPREAD_MS}.
 */
const CHECK_MS = 250
/** Milliseconds after which a router that starts knows whether a peer writes. */
const SETTLE_MS = 1_000
/** Attempts to read streams; callers do not come back for longer. */
const READ_TRIES = 5
/** Milliseconds between two calls while the log is unavailable. */
const RETRY_MS = 1_000

/**
 * Starts to store versions. A router that starts reads them once: without them, a
 * fleet of which no router lives on could not tell which version began a stream.
 */
export function createVersionStorage(
  options: VersionStorageOptions,
): VersionStorage {
  const { store, streamLog, logRestores, streams, services, log } = options
  const stopping = new AbortController()
  const { signal } = stopping
  const written = new Map<string, StoredVersions>()

  function wait(ms: number): Promise<unknown> {
    return sleep(ms, undefined, { signal, ref: false }).catch(() => undefined)
  }

  /** Reads which versions began streams; those of a service with one need no record. */
  async function readStreams(): Promise<boolean> {
    const isSole = (service: string): boolean =>
      streams.recentVersions(service)?.length === 1
    if (services().every(isSole)) return true
    const stored = await streamLog.readAll()
    if (stored.isErr()) return false
    streams.merge(stored.value)
    streams.markStored(stored.value)
    return true
  }

  async function read(): Promise<boolean> {
    const listing = await store.list()
    if (listing.isErr()) return false
    for (const [service, stored] of listing.value.values) {
      // A restore may have undone later changes.
      const isCurrent = stored.restores === logRestores.count
      streams.mergeStored(service, stored, isCurrent)
      log.write(LogEvent.StreamVersionsRead, {
        service,
        versions: stored.versions.join(),
        isCurrent,
      })
      if (isCurrent) written.set(service, stored)
    }
    return true
  }

  async function writeStreams(): Promise<boolean> {
    const unstored = streams.findUnstored()
    if (unstored.length === 0) return true
    if (!(await streamLog.append(unstored))) return false
    streams.markStored(unstored)
    return true
  }

  /** Returns what the log lacks of a service; undefined if that is nothing or unknown. */
  function unwrittenOf(service: string): StoredVersions | undefined {
    const versions = streams.recentVersions(service)?.sort()
    if (!versions || versions.length === 0) return undefined
    const { count } = logRestores
    const value = { versions, ...(count !== undefined && { restores: count }) }
    return isDeepStrictEqual(written.get(service), value) ? undefined : value
  }

  async function writeChanges(): Promise<boolean> {
    for (const service of services()) {
      const value = unwrittenOf(service)
      if (!value) continue
      if (!(await store.put(service, value))) return false
      written.set(service, value)
    }
    return writeStreams()
  }

  async function run(): Promise<void> {
    while (!signal.aborted && (services().length === 0 || !(await read())))
      await wait(services().length === 0 ? CHECK_MS : RETRY_MS)
    for (
      let tries = 1;
      !(await readStreams()) && tries < READ_TRIES;
      tries += 1
    )
      await wait(RETRY_MS)
    await wait(SETTLE_MS)
    while (!signal.aborted) {
      const isDone = !options.isWriter() || (await writeChanges())
      await wait(isDone ? CHECK_MS : RETRY_MS)
    }
  }

  void run()
  return {
    stop: () => {
      stopping.abort()
    },
  }
}
