import type { Target } from '../targets/target.js'

/** A software version of a service and the milliseconds since one of its targets was listed. */
export type ListedVersion = readonly [
  service: string,
  softwareVersion: string,
  ageMs: number,
]

/** What a router knows of the software versions that services had. */
export interface VersionHistoryState {
  /** Milliseconds for which the router, or those that it learnt from, has followed the target list. */
  readonly coveredMs: number
  readonly versions: readonly ListedVersion[]
}

/** Times between which targets of a version were listed; the last is infinite while one is. */
interface ListedSpan {
  readonly sinceMs: number
  readonly untilMs: number
}

/** Software versions that the targets of each service had lately. */
export interface VersionHistory {
  /** Records the listed targets. */
  observe(targets: Iterable<Target>, nowMs: number): void
  /** Adds the history of a peer. */
  merge(state: VersionHistoryState, nowMs: number): void
  /**
   * Adds versions that a service had at most a stream's lifetime before the fleet stopped.
   * @param isComplete Whether it had no others.
   */
  mergeStored(
    service: string,
    versions: readonly string[],
    isComplete: boolean,
    nowMs: number,
  ): void
  /** Returns every version that a service had within the lifetime of a stream; undefined if there may be unknown ones. */
  recentVersions(service: string, nowMs: number): string[] | undefined
  /** Returns the milliseconds since a version of a service was first seen; 0 if it was not. */
  ageMs(service: string, softwareVersion: string, nowMs: number): number
  /** Returns the only version that a service had within the lifetime of a stream; undefined if there were others or they are unknown. */
  soleVersion(service: string, nowMs: number): string | undefined
  state(nowMs: number): VersionHistoryState
}

/**
 * Creates a history without observations.
 * @param lifetimeMs Returns the milliseconds for which a caller may still resume a stream.
 */
export function createVersionHistory(lifetimeMs: () => number): VersionHistory {
  const listed = new Map<string, Map<string, ListedSpan>>()
  /** Services whose versions before the start of the router are known. */
  const completeServices = new Set<string>()
  let coveredSinceMs = Infinity

  function recentVersions(
    service: string,
    nowMs: number,
  ): string[] | undefined {
    const sinceMs = nowMs - lifetimeMs()
    if (coveredSinceMs > sinceMs && !completeServices.has(service))
      return undefined
    const versions: string[] = []
    for (const [version, { untilMs }] of listed.get(service) ?? [])
      if (untilMs >= sinceMs) versions.push(version)
    return versions
  }

  function record(
    service: string,
    version: string,
    sinceMs: number,
    untilMs: number,
  ): void {
    const versions = listed.get(service) ?? new Map<string, ListedSpan>()
    listed.set(service, versions)
    const known = versions.get(version)
    versions.set(version, {
      sinceMs: Math.min(known?.sinceMs ?? Infinity, sinceMs),
      untilMs: Math.max(known?.untilMs ?? 0, untilMs),
    })
  }

  function endCurrent(nowMs: number): void {
    for (const [service, versions] of listed) {
      for (const [version, { sinceMs, untilMs }] of versions) {
        if (untilMs === Infinity)
          versions.set(version, { sinceMs, untilMs: nowMs })
        else if (untilMs < nowMs - lifetimeMs()) versions.delete(version)
      }
      if (versions.size === 0) listed.delete(service)
    }
  }

  return {
    observe(targets, nowMs) {
      coveredSinceMs = Math.min(coveredSinceMs, nowMs)
      endCurrent(nowMs)
      for (const { service, softwareVersion } of targets)
        record(service, softwareVersion, nowMs, Infinity)
    },
    merge({ coveredMs, versions }, nowMs) {
      coveredSinceMs = Math.min(coveredSinceMs, nowMs - coveredMs)
      for (const [service, version, ageMs] of versions)
        record(service, version, nowMs, nowMs - ageMs)
    },
    ageMs(service, softwareVersion, nowMs) {
      const span = listed.get(service)?.get(softwareVersion)
      return span ? nowMs - span.sinceMs : 0
    },
    mergeStored(service, versions, isComplete, nowMs) {
      if (isComplete) completeServices.add(service)
      for (const version of versions) record(service, version, nowMs, nowMs)
    },
    recentVersions,
    soleVersion(service, nowMs) {
      const [version, ...others] = recentVersions(service, nowMs) ?? []
      return others.length === 0 ? version : undefined
    },
    state(nowMs) {
      const versions: ListedVersion[] = []
      for (const [service, byVersion] of listed)
        for (const [version, { untilMs }] of byVersion)
          versions.push([service, version, Math.max(0, nowMs - untilMs)])
      return { coveredMs: Math.max(0, nowMs - coveredSinceMs), versions }
    },
  }
}
