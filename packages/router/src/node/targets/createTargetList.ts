import { isDeepStrictEqual } from 'node:util'
import { hash32 } from '@auburnbay/core/hash/hash32'
import type { Target } from './target.js'

function fingerprintOf(targets: Iterable<Target>): number {
  const lines: string[] = []
  for (const { id, service, host, port, draining } of targets)
    lines.push([id, service, host, port, draining].join(' '))
  return hash32(lines.sort().join('\n'))
}

/** The targets that may get work, as far as this router knows. */
export interface TargetList {
  /** Returns the targets of a service that are not leaving. */
  ready(service: string, nowMs: number): readonly Target[]
  /** Returns a target that is listed, leaving or not. */
  find(id: string): Target | undefined
  all(): Iterable<Target>
  /** Ids of all targets in order; the same for views with the same fingerprint. */
  ids(): readonly string[]
  /** Tells two views apart; the same for the same targets. */
  fingerprint(): number
  set(target: Target): void
  remove(id: string, nowMs: number): void
  /** Notes that the list can be read again after an outage. */
  startRejoinWindow(nowMs: number): void
}

/**
 * Creates an empty view.
 * @param rejoinMs Milliseconds after an outage of the list within which entries that it lost come back.
 */
export function createTargetList(rejoinMs: number): TargetList {
  const targets = new Map<string, Target>()
  const missing = new Set<string>()
  let byService: Map<string, Target[]> | undefined
  let fingerprint: number | undefined
  let ids: readonly string[] | undefined
  let rejoinUntilMs = -Infinity

  function index(): Map<string, Target[]> {
    const indexed = new Map<string, Target[]>()
    for (const target of targets.values()) {
      if (target.draining) continue
      const group = indexed.get(target.service)
      if (group) group.push(target)
      else indexed.set(target.service, [target])
    }
    return indexed
  }

  function changed(): void {
    byService = undefined
    fingerprint = undefined
    ids = undefined
  }

  function drop(id: string): void {
    missing.delete(id)
    targets.delete(id)
    changed()
  }

  function put(target: Target): void {
    missing.delete(target.id)
    // Entries are written again and again without a change.
    if (isDeepStrictEqual(targets.get(target.id), target)) return
    targets.set(target.id, target)
    changed()
  }

  function remove(id: string, nowMs: number): void {
    if (!targets.has(id)) return
    if (nowMs < rejoinUntilMs) missing.add(id)
    else drop(id)
  }

  /** Removes targets whose entry did not come back in time. */
  function expire(nowMs: number): void {
    if (missing.size === 0 || nowMs < rejoinUntilMs) return
    for (const id of missing) drop(id)
  }

  return {
    ready(service, nowMs) {
      expire(nowMs)
      byService ??= index()
      return byService.get(service) ?? []
    },
    find: (id) => targets.get(id),
    all: () => targets.values(),
    ids() {
      ids ??= [...targets.keys()].sort()
      return ids
    },
    fingerprint() {
      fingerprint ??= fingerprintOf(targets.values())
      return fingerprint
    },
    set: put,
    remove,
    startRejoinWindow(nowMs) {
      rejoinUntilMs = nowMs + rejoinMs
    },
  }
}
