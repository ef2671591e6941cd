import { SHORT_OUTAGE_MS } from '../constants.js'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import { createSourceFollower } from '../sources/createSourceFollower.js'
import type { KeyedSource } from '../sources/keyedSource.js'
import type { TargetView } from './createTargetView.js'
import type { Target } from './target.js'

/** What the follower of targets works with. */
export interface FollowTargetsOptions {
  readonly source: KeyedSource<Target>
  readonly view: TargetView
  /** Milliseconds between two readings. */
  readonly pauseMs: number
  /** Last time at which no peer could read the list either, in milliseconds. */
  readonly unreadAtMs: () => number
  /** Steady clock, in milliseconds. */
  readonly now: () => number
  readonly log: DecisionLog
}

/** Keeps a view of targets in step with their list. */
export interface TargetsFollower {
  /** Milliseconds since the list was last read; infinite before the first time. */
  ageMs(): number
  /** Whether the view has come from the list or from a peer. */
  isKnown(): boolean
  /** Takes in the list that a peer has. */
  borrow(targets: readonly Target[]): void
  stop(): void
}

/** Starts to follow the list of targets. */
export function followTargets(options: FollowTargetsOptions): TargetsFollower {
  const { source, view, now, log } = options
  let isKnown = false

  function put(target: Target): void {
    const known = view.find(target.id)
    view.put(target)
    const { id, service, draining } = target
    if (!known) log.write(LogEvent.TargetListed, { target: id, service })
    if (draining && !known?.draining)
      log.write(LogEvent.TargetDraining, { target: id, service })
  }

  function replace(values: ReadonlyMap<string, Target>): void {
    isKnown = true
    for (const target of values.values()) put(target)
    view.replace(values, now())
  }

  const follower = createSourceFollower({
    source,
    pauseMs: options.pauseMs,
    now,
    onListing: replace,
    onEntry: ({ key, value }) => {
      if (value) {
        put(value)
        return
      }
      if (view.find(key)) log.write(LogEvent.TargetGone, { target: key })
      view.remove(key, now())
    },
    onLost: (fault) => {
      log.write(LogEvent.SourceLost, { source: 'targets', fault })
    },
    onRegained: (lostMs) => {
      log.write(LogEvent.SourceRegained, {
        source: 'targets',
        lostMs: Math.round(lostMs),
      })
      const isShared = options.unreadAtMs() > now() - lostMs
      if (lostMs > SHORT_OUTAGE_MS && isShared) view.regained(now())
    },
  })

  return {
    ageMs: () => follower.ageMs(),
    isKnown: () => isKnown,
    borrow(targets) {
      replace(new Map(targets.map((target) => [target.id, target])))
    },
    stop: () => {
      follower.stop()
    },
  }
}
