import { isDeepStrictEqual } from 'node:util'
import { hash32 } from '@auburnbay/core/hash/hash32'
import { LRUCache } from 'lru-cache'
import {
  createStartStatements,
  type TargetStart,
} from './createStartStatements.js'
import type { Target } from './target.js'
import { TargetExclusion } from './targetExclusion.js'
import { targetIncarnation } from './targetIncarnation.js'

/** Removed targets that are remembered. */
const MAX_REMOVED = 100
/** Targets that are remembered as leaving; far more than leave within a drain time. */
const MAX_LEAVING = 1_000

function fingerprintOf(targets: Iterable<Target>): number {
  const lines: string[] = []
  for (const target of targets) {
    const { service, host, port, softwareVersion, draining } = target
    const incarnation = targetIncarnation(target)
    lines.push(
      [incarnation, service, host, port, softwareVersion, draining].join(' '),
    )
  }
  return hash32(lines.sort().join('\n'))
}

/** The known targets of this router. */
export interface TargetList {
  /** Returns the targets of a service that are neither draining nor leaving, outside evacuated data centres. */
  ready(service: string, nowMs: number): readonly Target[]
  /** Returns the number of a service's targets that would be ready, but are in evacuated data centres. */
  evacuatedCount(service: string): number
  /** Returns a listed target, draining or not. */
  find(id: string): Target | undefined
  /** Returns a target that still runs as far as the list shows: listed, or removed without notice less than the drain time ago. */
  findRunning(id: string, nowMs: number): Target | undefined
  all(): Iterable<Target>
  /** Returns the sorted ids of all targets; lists with the same fingerprint have the same ids. */
  ids(): readonly string[]
  /** Returns a hash of the targets, to compare two lists. */
  fingerprint(): number
  /** Increases with each change of the list. */
  readonly revision: number
  /** Recomputes {@link ready} after the set of evacuated data centres has changed. */
  updateEvacuated(): void
  /** Whether a target that was {@link ready} still is: the list has this start of it, at its address. */
  isStillReady(target: Target): boolean
  /** Returns why a target is not {@link ready}; undefined if it is. */
  exclusionOf(target: Target): TargetExclusion | undefined
  set(target: Target): void
  remove(id: string, nowMs: number): void
  /**
   * Excludes a target from {@link ready} until it starts again, whatever its entry says.
   * @param saidAtMs Time of day at which it said that it leaves, in milliseconds since the epoch.
   */
  markLeaving(target: TargetStart, saidAtMs: number): void
  isLeaving(target: TargetStart): boolean
  /** Starts the rejoin window after an outage, in which removed targets stay as their entries may return. */
  startRejoinWindow(nowMs: number): void
}

/**
 * Creates an empty target list.
 * @param rejoinMs Milliseconds after an outage of the source within which lost entries return.
 * @param drainMs Milliseconds for which a target serves after it was removed without notice.
 * @param isEvacuated Whether the targets of a data centre get no requests.
 */
export function createTargetList(
  rejoinMs: number,
  drainMs: () => number,
  isEvacuated: (dataCentre: string | undefined) => boolean = () => false,
): TargetList {
  const targets = new Map<string, Target>()
  const missing = new Set<string>()
  /** Targets that left without having announced it, with the time of their removal. */
  const removed = new LRUCache<string, { target: Target; removedAtMs: number }>(
    { max: MAX_REMOVED },
  )
  const leaving = createStartStatements<true>(MAX_LEAVING)
  let byService: Map<string, Target[]> | undefined
  const evacuatedCounts = new Map<string, number>()
  let fingerprint: number | undefined
  let ids: readonly string[] | undefined
  let rejoinUntilMs = -Infinity
  let revision = 0

  function isLeaving(target: TargetStart): boolean {
    return leaving.find(target) ?? false
  }

  function exclusionOf(target: Target): TargetExclusion | undefined {
    if (target.draining) return TargetExclusion.Draining
    if (isLeaving(target)) return TargetExclusion.Leaving
    if (isEvacuated(target.dataCentre)) return TargetExclusion.Evacuated
    return undefined
  }

  function indexByService(): Map<string, Target[]> {
    const index = new Map<string, Target[]>()
    evacuatedCounts.clear()
    for (const target of targets.values()) {
      const exclusion = exclusionOf(target)
      if (exclusion === TargetExclusion.Evacuated) {
        const count = evacuatedCounts.get(target.service) ?? 0
        evacuatedCounts.set(target.service, count + 1)
      }
      if (exclusion !== undefined) continue
      const group = index.get(target.service)
      if (group) group.push(target)
      else index.set(target.service, [target])
    }
    return index
  }

  function invalidateIndexes(): void {
    revision += 1
    byService = undefined
    fingerprint = undefined
    ids = undefined
  }

  function drop(id: string, nowMs: number): void {
    const target = targets.get(id)
    if (target && !target.draining)
      removed.set(id, { target, removedAtMs: nowMs })
    missing.delete(id)
    targets.delete(id)
    invalidateIndexes()
  }

  function set(target: Target): void {
    missing.delete(target.id)
    // Entries are rewritten periodically without a change.
    if (isDeepStrictEqual(targets.get(target.id), target)) return
    targets.set(target.id, target)
    invalidateIndexes()
  }

  function remove(id: string, nowMs: number): void {
    if (!targets.has(id)) return
    if (nowMs < rejoinUntilMs) missing.add(id)
    else drop(id, nowMs)
  }

  /** Removes targets whose entry did not return within the rejoin window. */
  function dropMissing(nowMs: number): void {
    if (missing.size === 0 || nowMs < rejoinUntilMs) return
    for (const id of missing) drop(id, nowMs)
  }

  return {
    ready(service, nowMs) {
      dropMissing(nowMs)
      byService ??= indexByService()
      return byService.get(service) ?? []
    },
    evacuatedCount(service) {
      byService ??= indexByService()
      return evacuatedCounts.get(service) ?? 0
    },
    find: (id) => targets.get(id),
    findRunning(id, nowMs) {
      const listed = targets.get(id)
      if (listed) return listed
      const left = removed.get(id)
      return left && nowMs - left.removedAtMs < drainMs()
        ? left.target
        : undefined
    },
    all: () => targets.values(),
    get revision() {
      return revision
    },
    ids() {
      ids ??= [...targets.keys()].sort()
      return ids
    },
    fingerprint() {
      fingerprint ??= fingerprintOf(targets.values())
      return fingerprint
    },
    set,
    remove,
    markLeaving(target, saidAtMs) {
      leaving.set(target, true, saidAtMs)
      invalidateIndexes()
    },
    isLeaving,
    exclusionOf,
    isStillReady(target) {
      const listed = targets.get(target.id)
      return (
        listed?.host === target.host &&
        listed.port === target.port &&
        listed.startedAtMs === target.startedAtMs &&
        exclusionOf(listed) === undefined
      )
    },
    updateEvacuated: invalidateIndexes,
    startRejoinWindow(nowMs) {
      rejoinUntilMs = nowMs + rejoinMs
    },
  }
}
