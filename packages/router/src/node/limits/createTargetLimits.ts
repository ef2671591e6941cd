import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { ResponseHead } from '../targets/responseHead.js'
import type { Target } from '../targets/target.js'
import { createLimitShares } from './createLimitShares.js'

/** Options for {@link createTargetLimits}. */
export interface TargetLimitsOptions {
  /** Id of this router. */
  readonly router: string
  /** Returns the routers of the fleet including this one; undefined while they are unknown. */
  readonly routers: () => readonly string[] | undefined
  readonly records: SharedRecords
  readonly log: DecisionLog
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Keeps the requests of the whole fleet within the limits that targets name. */
export interface TargetLimits {
  /** Records the limit in the head of a response. */
  observe(target: Target, head: ResponseHead): void
  /** Whether this router may send a request to a target now. */
  maySend(targetId: string): boolean
  /** Records that a request is sent to a target. */
  recordSent(targetId: string): void
  /** Returns the milliseconds until this router may send a request to one of these targets; 0 if it may. */
  waitMs(targets: readonly Target[]): number
}

interface KnownLimit {
  /** Absent if the target named none. */
  readonly perS?: number
  readonly observedAtMs: number
}

/** Smallest change of a limit that is passed on, as a part of it. */
const MIN_CHANGE = 0.05
/** Milliseconds after which an unchanged limit is passed on again; well within the lifetime of a record. */
const REFRESH_MS = 60_000

function isSameLimit(a: number | undefined, b: number | undefined): boolean {
  if (a === undefined || b === undefined) return a === b
  return Math.abs(a - b) <= MIN_CHANGE * b
}

/** Creates limits without an observation. */
export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { records, log, now } = options
  const shares = createLimitShares(options)
  let limits = new Map<string, KnownLimit>()

  function newestLimits(): Map<string, KnownLimit> {
    const newest = new Map<string, KnownLimit>()
    for (const record of records.list(RecordKind.TargetLimit)) {
      const { key, value, observedAtMs } = record
      const known = newest.get(key)
      if (known && known.observedAtMs >= observedAtMs) continue
      const perS = Number.parseFloat(value[0] ?? '')
      newest.set(key, {
        ...(Number.isFinite(perS) && { perS }),
        observedAtMs,
      })
    }
    return newest
  }

  records.onChange(RecordKind.TargetLimit, () => {
    const before = limits
    limits = newestLimits()
    for (const [target, { perS: limit }] of limits)
      if (before.get(target)?.perS !== limit)
        log.write(LogEvent.TargetLimit, { target, limit })
  })

  /** Returns the milliseconds until a request may be sent to a target. */
  function waitForTargetMs(targetId: string): number {
    const limitPerS = limits.get(targetId)?.perS
    return limitPerS === undefined ? 0 : shares.waitMs(targetId, limitPerS)
  }

  return {
    observe({ id }, { requestLimitPerS, signed }) {
      const known = limits.get(id)
      // A refusal may lack the limit.
      if (requestLimitPerS === undefined && !signed) return
      const isRecent = known && now() - known.observedAtMs < REFRESH_MS
      const isKnown = isSameLimit(requestLimitPerS, known?.perS)
      if (isKnown && (isRecent || requestLimitPerS === undefined)) return
      const value =
        requestLimitPerS === undefined ? [] : [String(requestLimitPerS)]
      records.publish(RecordKind.TargetLimit, id, value, now())
    },
    maySend: (targetId) => waitForTargetMs(targetId) === 0,
    recordSent(targetId) {
      const limitPerS = limits.get(targetId)?.perS
      if (limitPerS !== undefined) shares.recordSent(targetId, limitPerS)
    },
    waitMs(targets) {
      let waitMs = Infinity
      for (const { id } of targets)
        waitMs = Math.min(waitMs, waitForTargetMs(id))
      return waitMs
    },
  }
}
