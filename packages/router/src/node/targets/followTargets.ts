import { LRUCache } from 'lru-cache'
import { REJOIN_WINDOW_MS, SHORT_OUTAGE_MS } from '../constants.js'
import type { DecisionLog, LogFields } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import {
  createSourceFollower,
  type SourceFollower,
} from '../sources/createSourceFollower.js'
import type { LogRestores } from '../sources/createLogRestores.js'
import { createSourceLogger } from '../sources/createSourceLogger.js'
import type { KeyedSource } from '../sources/keyedSource.js'
import type { TargetList } from './createTargetList.js'
import type { ColdTargets } from './createColdTargets.js'
import type { ListedTarget, Target } from './target.js'

/** Removed targets that are remembered; far more than are removed while a peer still has an older list. */
const MAX_REMOVED = 1_000

/** Milliseconds without a poll after which the list is read as a whole: targets write their entries about once a second. */
const LIST_AFTER_MS = 3_000

/** Options for {@link followTargets}. */
export interface FollowTargetsOptions {
  readonly source: KeyedSource<ListedTarget>
  readonly logRestores: LogRestores
  readonly targetList: TargetList
  readonly coldTargets: Pick<ColdTargets, 'recordListed'>
  /** Milliseconds between two polls. */
  readonly pollIntervalMs: number
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /** Resolves after some milliseconds on that clock; a timer by default. */
  readonly sleep?: (ms: number, signal: AbortSignal) => Promise<void>
  /** Whether the process has paused since a time on that clock. */
  readonly hasPausedSince: (sinceMs: number) => boolean
  /** Returns the age of the list above which this router polls although a peer does, in milliseconds. */
  readonly maxAgeMs: () => number
  /** Whether a peer polls the source for this router. */
  readonly hasFreshReader: () => boolean
  /** Returns the milliseconds between two polls while the source is unavailable. */
  readonly outageRetryMs: () => number
  /** Called when a target was added or removed, or its draining state changed. */
  readonly onChange: () => void
  readonly log: DecisionLog
}

/** Keeps a target list up to date with its source. */
export interface TargetsFollower extends Omit<SourceFollower, 'outageMs'> {
  /** Whether the list was loaded from the source or from a peer. */
  isLoaded(): boolean
  /** Applies a list that the peer `from` had `ageMs` ago. */
  applyPeerList(targets: readonly Target[], ageMs: number, from: string): void
}

/** Starts to follow the source of targets. */
export function followTargets(options: FollowTargetsOptions): TargetsFollower {
  const { source, targetList, logRestores, now, log } = options
  const sourceLogger = createSourceLogger(log, 'targets')
  let isLoaded = false
  let restoredAtMs = -Infinity
  // A peer's older list must not bring removed targets back.
  const removed = new LRUCache<string, true>({ max: MAX_REMOVED })

  /** Returns where changes were learnt, and the age of the list that lacked them. */
  function learntFrom(from: string): LogFields {
    const listAgeMs = Math.round(follower.ageMs())
    return { from, ...(Number.isFinite(listAgeMs) && { listAgeMs }) }
  }

  function set(
    { coldMs = 0, ...entry }: ListedTarget,
    learnt: LogFields,
  ): void {
    const known = targetList.find(entry.id)
    removed.delete(entry.id)
    // The list of a peer of an earlier release names no data centres.
    const target =
      entry.dataCentre === undefined && known?.dataCentre !== undefined
        ? { ...entry, dataCentre: known.dataCentre }
        : entry
    options.coldTargets.recordListed(target, coldMs, !isLoaded)
    targetList.set(target)
    const { id, service, draining } = target
    if (known?.draining === draining) return
    options.onChange()
    const line = { target: id, service, ...learnt }
    if (!known) log.write(LogEvent.TargetListed, line)
    if (draining) log.write(LogEvent.TargetDraining, line)
    else if (known) log.write(LogEvent.TargetReady, line)
  }

  function remove(id: string, learnt: LogFields): void {
    if (!targetList.find(id)) return
    removed.set(id, true)
    log.write(LogEvent.TargetRemoved, { target: id, ...learnt })
    targetList.remove(id, now())
    options.onChange()
  }

  function startRejoinWindow(): void {
    targetList.startRejoinWindow(now())
    log.write(LogEvent.RemovalsDelayed, { delayMs: REJOIN_WINDOW_MS })
  }

  logRestores.onRestore(() => {
    restoredAtMs = now()
    // Targets that registered after the copy was made register again.
    startRejoinWindow()
  })

  /** Whether a listed entry may be from before a change that the log has lost. */
  function isFromOldCopy(target: Target): boolean {
    return now() - restoredAtMs < REJOIN_WINDOW_MS && isOutdated(target)
  }

  function replace(
    values: ReadonlyMap<string, ListedTarget>,
    learnt: LogFields,
  ): void {
    for (const target of values.values())
      if (!isFromOldCopy(target)) set(target, learnt)
    isLoaded = true
    for (const { id } of [...targetList.all()])
      if (!values.has(id)) remove(id, learnt)
  }

  /** Whether an entry is older than what this router knows. */
  function isOutdated({ id, draining, startedAtMs }: Target): boolean {
    if (removed.has(id)) return true
    const known = targetList.find(id)
    if (!known) return false
    const isEarlier = (startedAtMs ?? Infinity) < (known.startedAtMs ?? 0)
    return isEarlier || (known.draining && !draining)
  }

  /** Whether the data centres of some targets are known, and of others are not. */
  function lacksDataCentres(): boolean {
    const targets = [...targetList.all()]
    const known = targets.filter(({ dataCentre }) => dataCentre !== undefined)
    return known.length > 0 && known.length < targets.length
  }

  function applyPeerList(
    targets: readonly Target[],
    peerAgeMs: number,
    from: string,
  ): void {
    // Either the peer's list is outdated or the target returned; only a poll of the source shows which.
    if (targets.some(isOutdated)) {
      follower.invalidate()
      return
    }
    const learnt = learntFrom(from)
    follower.confirm(peerAgeMs)
    replace(new Map(targets.map((target) => [target.id, target])), learnt)
    // A peer of an earlier release passes on targets without their data centres.
    if (lacksDataCentres()) follower.invalidate()
  }

  const follower = createSourceFollower({
    source,
    logRestores,
    pollIntervalMs: options.pollIntervalMs,
    hasFreshReader: options.hasFreshReader,
    maxAgeMs: options.maxAgeMs,
    listAfterMs: LIST_AFTER_MS,
    outageRetryMs: options.outageRetryMs,
    now,
    ...(options.sleep && { sleep: options.sleep }),
    hasPausedSince: options.hasPausedSince,
    onListing: (values) => {
      replace(values, learntFrom('listing'))
    },
    onEntry: ({ key, value }) => {
      if (value) set(value, learntFrom('log'))
      else remove(key, learntFrom('log'))
    },
    onUnavailable: sourceLogger.logUnavailable,
    onRecovered: (outageMs) => {
      sourceLogger.logRecovered(outageMs)
    },
    onGapEnded: (ageMs) => {
      if (ageMs > SHORT_OUTAGE_MS) startRejoinWindow()
    },
  })

  return { ...follower, isLoaded: () => isLoaded, applyPeerList }
}
