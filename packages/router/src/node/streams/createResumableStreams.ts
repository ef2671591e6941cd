import type { Call } from '../callers/call.js'
import type { TargetList } from '../targets/createTargetList.js'
import type { Target } from '../targets/target.js'
import { createStreamVersions } from './createStreamVersions.js'
import {
  createVersionHistory,
  type VersionHistoryState,
} from './createVersionHistory.js'
import { VERSION_SPREAD_MS } from './isListFresh.js'
import { isResumable } from './isResumable.js'
import type { StoredVersions } from './storedVersions.js'
import type { StreamVersion } from './streamVersion.js'

/** What a starting router learns from a peer about the streams that callers may resume. */
export interface ResumableStreamsState {
  readonly streams: readonly StreamVersion[]
  readonly history: VersionHistoryState
}

/** Options for {@link createResumableStreams}. */
export interface ResumableStreamsOptions {
  readonly targetList: TargetList
  /** Whether the whole fleet starts for the first time. */
  readonly startsFleet: boolean
  /** Whether the target list was loaded. */
  readonly isListLoaded: () => boolean
  /** Whether a target that another router knows would be listed here too. */
  readonly isListFresh: () => boolean
  /** Returns the milliseconds for which a caller may still resume a stream. */
  readonly lifetimeMs: () => number
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Knows which software version began each stream that a caller may resume. */
export interface ResumableStreams {
  /** Records that a call is sent to a target of a software version. */
  recordSent(call: Call, softwareVersion: string): void
  /**
   * Whether a call may begin a stream at a target: every router that may be asked to
   * resume it must know the version, or know that there are several.
   */
  mayBegin(call: Call, target: Target): boolean
  /** Returns the version that began the stream of an attempt; undefined if it is unknown. */
  findVersion(
    service: string,
    attemptId: string | undefined,
  ): string | undefined
  /** Returns streams of this router that peers need and that were not returned before. */
  takeUpdates(): StreamVersion[]
  /** Adds streams of peers. */
  merge(streams: readonly StreamVersion[]): void
  /** Returns every version at which a stream of a service may have begun that callers may still resume; undefined if there may be unknown ones. */
  recentVersions(service: string): string[] | undefined
  /** Returns streams that the log lacks and that cannot be told by the versions of their service. */
  findUnstored(): StreamVersion[]
  /** Records that the log has streams, which may be of other routers. */
  markStored(streams: readonly StreamVersion[]): void
  /** Adds what the log says of the versions of a service. */
  mergeStored(service: string, stored: StoredVersions, isCurrent: boolean): void
  state(): ResumableStreamsState
  applyState(state: ResumableStreamsState): void
}

/** Creates an empty registry of resumable streams. */
export function createResumableStreams(
  options: ResumableStreamsOptions,
): ResumableStreams {
  const { targetList, lifetimeMs, now } = options
  const history = createVersionHistory(lifetimeMs)
  let observedRevision: number | undefined
  if (options.startsFleet)
    history.merge({ coveredMs: Number.MAX_SAFE_INTEGER, versions: [] }, now())

  function observeTargets(): void {
    if (!options.isListLoaded()) return
    if (targetList.revision === observedRevision) return
    observedRevision = targetList.revision
    history.observe(targetList.all(), now())
  }

  function soleVersion(service: string): string | undefined {
    observeTargets()
    return history.soleVersion(service, now())
  }

  const versions = createStreamVersions({
    lifetimeMs,
    // A router whose list is out of date infers no version.
    isNeeded: (service) =>
      !options.isListFresh() || soleVersion(service) === undefined,
  })

  return {
    recordSent({ request, relayed, route, service }, softwareVersion) {
      if (!isResumable(route)) return
      versions.record(
        { attemptId: request.attemptId, service, softwareVersion },
        relayed === undefined,
        now(),
      )
    },
    mayBegin({ route, service }, { softwareVersion }) {
      if (!isResumable(route)) return true
      observeTargets()
      return history.ageMs(service, softwareVersion, now()) > VERSION_SPREAD_MS
    },
    findVersion(service, attemptId) {
      const known =
        attemptId === undefined ? undefined : versions.find(attemptId, now())
      if (known !== undefined) return known
      return options.isListFresh() ? soleVersion(service) : undefined
    },
    takeUpdates() {
      observeTargets()
      return versions.takeUpdates(now())
    },
    merge(streams) {
      versions.merge(streams, now())
    },
    recentVersions(service) {
      observeTargets()
      return history.recentVersions(service, now())
    },
    findUnstored() {
      observeTargets()
      return versions.findUnstored(now())
    },
    markStored(streams) {
      versions.markStored(streams)
    },
    mergeStored(service, { versions: stored }, isCurrent) {
      history.mergeStored(service, stored, isCurrent, now())
    },
    state() {
      observeTargets()
      return { streams: versions.all(now()), history: history.state(now()) }
    },
    applyState({ streams, history: received }) {
      versions.merge(streams, now())
      history.merge(received, now())
    },
  }
}
