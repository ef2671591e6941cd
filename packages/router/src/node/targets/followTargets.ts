import { LRUCache } from 'lru-cache'
import { REJOIN_WINDOW_MS, SHORT_OUTAGE_MS } from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import { createSourceFollower } from '../sources/createSourceFollower.js'
import { createSourceLogger } from '../sources/createSourceLogger.js'
import type { KeyedSource } from '../sources/keyedSource.js'
import type { TargetList } from './createTargetList.js'
import type { Target } from './target.js'

/** Targets that went and are remembered; far more than go while an old list is about. */
const MAX_GONE = 1_000

/** What the follower of targets works with. */
export interface FollowTargetsOptions {
  readonly source: KeyedSource<Target>
  readonly targetList: TargetList
  /** Milliseconds between two readings. */
  readonly pollIntervalMs: number
  /** Last time at which no peer could read the list either, in milliseconds. */
  readonly lastFleetOutageAtMs: () => number
  /** Steady clock, in milliseconds. */
  readonly now: () => number
  /** Whether a peer reads the list for this router. */
  readonly hasFreshReader: () => boolean
  /** Called when a target came, left or announced that it leaves. */
  readonly onChange: () => void
  readonly log: DecisionLog
}

/** Keeps a view of targets in step with their list. */
export interface TargetsFollower {
  /** Milliseconds since this router read the list; infinite before the first time. */
  lastPollAgeMs(): number
  /** Milliseconds up to which the view surely has all changes, from the list or from peers. */
  ageMs(): number
  /** Whether the view has come from the list or from a peer. */
  isLoaded(): boolean
  /** Takes in the list that a peer had `ageMs` ago. */
  applyPeerList(targets: readonly Target[], ageMs: number): void
  /** Notes that a peer had the same list `ageMs` ago. */
  confirm(ageMs: number): void
  /** Trusts nothing that was known until the list is read again. */
  invalidate(): void
  stop(): void
}

/** Starts to follow the list of targets. */
export function followTargets(options: FollowTargetsOptions): TargetsFollower {
  const { source, targetList: view, now, log } = options
  const lines = createSourceLogger(log, 'targets')
  let isKnown = false
  let confirmedAtMs = -Infinity
  let mustRead = false
  // Targets that went; a peer's older list must not bring them back.
  const gone = new LRUCache<string, true>({ max: MAX_GONE })

  function put(target: Target): void {
    const known = view.find(target.id)
    gone.delete(target.id)
    view.set(target)
    const { id, service, draining } = target
    if (known?.draining === draining) return
    options.onChange()
    if (!known) log.write(LogEvent.TargetListed, { target: id, service })
    if (draining) log.write(LogEvent.TargetDraining, { target: id, service })
  }

  function remove(id: string): void {
    if (!view.find(id)) return
    gone.set(id, true)
    log.write(LogEvent.TargetGone, { target: id })
    view.remove(id, now())
    options.onChange()
  }

  function confirm(ageMs: number): void {
    confirmedAtMs = Math.max(confirmedAtMs, now() - ageMs)
  }

  function replace(values: ReadonlyMap<string, Target>): void {
    isKnown = true
    for (const target of values.values()) put(target)
    for (const { id } of [...view.all()]) if (!values.has(id)) remove(id)
  }

  /** Whether a peer's entry goes back behind what this router knows. */
  function isBehind({ id, draining }: Target): boolean {
    if (gone.has(id)) return true
    return view.find(id)?.draining === true && !draining
  }

  function borrow(targets: readonly Target[], ageMs: number): void {
    // The peer is mistaken, or the target came back: only the list can tell.
    if (targets.some(isBehind)) {
      mustRead = true
      return
    }
    replace(new Map(targets.map((target) => [target.id, target])))
    confirm(ageMs)
  }

  const follower = createSourceFollower({
    source,
    pollIntervalMs: options.pollIntervalMs,
    hasFreshReader: () => !mustRead && options.hasFreshReader(),
    onRead: () => {
      mustRead = false
    },
    now,
    onListing: replace,
    onEntry: ({ key, value }) => {
      if (value) put(value)
      else remove(key)
    },
    onUnavailable: lines.logUnavailable,
    onRecovered: (lostMs) => {
      lines.logRecovered(lostMs)
      // Entries are back by now where peers have read for as long as that.
      const spanMs = Math.min(lostMs, REJOIN_WINDOW_MS)
      const isShared = options.lastFleetOutageAtMs() > now() - spanMs
      if (lostMs > SHORT_OUTAGE_MS && isShared) view.startRejoinWindow(now())
    },
  })

  return {
    lastPollAgeMs: () => (mustRead ? Infinity : follower.lastPollAgeMs()),
    ageMs() {
      if (mustRead) return Infinity
      return Math.min(follower.lastPollAgeMs(), now() - confirmedAtMs)
    },
    isLoaded: () => isKnown,
    confirm,
    applyPeerList: borrow,
    invalidate() {
      mustRead = true
      confirmedAtMs = -Infinity
    },
    stop: () => {
      follower.stop()
    },
  }
}
