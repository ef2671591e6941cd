import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { SharedRecords } from '../peers/createSharedRecords.js'
import { RecordKind } from '../peers/sharedRecord.js'
import type { ColdTargets } from '../targets/createColdTargets.js'
import type { Target } from '../targets/target.js'
import type { TargetStatement } from '../targets/targetStatement.js'
import type { LimitPlacesOptions } from './createLimitPlaces.js'
import { createLimitShares } from './createLimitShares.js'
import { createRoomShares } from './createRoomShares.js'
import type { TargetPauses } from './createTargetPauses.js'
import { createTargetValues } from './createTargetValues.js'

/** Options for {@link createTargetLimits}. */
export interface TargetLimitsOptions extends LimitPlacesOptions {
  /** Returns the requests of this router that are in flight at a target. */
  readonly inFlight: (targetId: string) => number
  readonly records: SharedRecords
  readonly pauses: TargetPauses
  readonly coldTargets: ColdTargets
  /** Returns the requests that all routers may send at once to a cold target, beside those per second. */
  readonly coldBurstOf: (requestsPerS: number) => number
  readonly log: DecisionLog
}

/** Keeps requests within what targets say that they take from the whole fleet, and from this router. */
export interface TargetLimits {
  /** Records the limits that a target names. */
  observe(targetId: string, statement: TargetStatement): void
  /** Whether this router may send a request to a target now. */
  maySend(target: Target): boolean
  /** Records that a request is sent to a target. */
  recordSent(target: Target): void
  /** Records that a target accepted no connection, and may start again unnoticed. */
  recordUnreachable(target: Target): void
  /** Whether a target has just started, or may have, and takes few requests. */
  isCold(target: Target): boolean
  /** Whether a target falls over if it refuses many requests. */
  isBrittle(targetId: string): boolean
  /** Returns the milliseconds until this router may send a request to one of these targets; 0 if it may. */
  waitMs(targets: readonly Target[]): number
}

/** Wait for room at a target: by then another router has got the request, or a request here has ended. */
const ROOM_WAIT_MS = 100

/** Creates limits without an observation. */
export function createTargetLimits(options: TargetLimitsOptions): TargetLimits {
  const { pauses, coldTargets, log, inFlight } = options
  const limitShares = createLimitShares(options)
  const coldShares = createLimitShares({
    ...options,
    burstOf: options.coldBurstOf,
  })
  const roomShares = createRoomShares(options)
  const limits = createTargetValues({
    ...options,
    kind: RecordKind.TargetLimit,
    onChange: (target, limit) => {
      log.write(LogEvent.TargetLimit, { target, limit })
    },
  })
  const brittle = createTargetValues({
    ...options,
    kind: RecordKind.TargetBrittle,
    onChange: (target, maxRefusalsPerS) => {
      log.write(LogEvent.TargetBrittle, { target, maxRefusalsPerS })
    },
  })

  function waitForRoomMs(target: Target): number {
    if (brittle.find(target.id) === undefined) return 0
    return inFlight(target.id) < roomShares.share(target) ? 0 : ROOM_WAIT_MS
  }

  function waitForWarmthMs(target: Target): number {
    const limitPerS = coldTargets.limitPerS(target)
    return limitPerS === undefined ? 0 : coldShares.waitMs(target.id, limitPerS)
  }

  /** Returns the milliseconds until a request may be sent to a target. */
  function waitForTargetMs(target: Target): number {
    const limitPerS = limits.find(target.id)
    const limitMs =
      limitPerS === undefined ? 0 : limitShares.waitMs(target.id, limitPerS)
    return Math.max(
      limitMs,
      waitForWarmthMs(target),
      waitForRoomMs(target),
      pauses.waitMs(target),
    )
  }

  return {
    observe(targetId, statement) {
      const { requestLimitPerS, maxRefusalsPerS, namesAllLimits } = statement
      if (requestLimitPerS !== undefined || namesAllLimits)
        limits.observe(targetId, requestLimitPerS)
      if (maxRefusalsPerS !== undefined || namesAllLimits)
        brittle.observe(targetId, maxRefusalsPerS)
    },
    maySend: (target) => waitForTargetMs(target) === 0,
    recordSent(target) {
      const limitPerS = limits.find(target.id)
      if (limitPerS !== undefined) limitShares.recordSent(target.id, limitPerS)
      const coldPerS = coldTargets.limitPerS(target)
      if (coldPerS !== undefined) coldShares.recordSent(target.id, coldPerS)
    },
    recordUnreachable(target) {
      coldTargets.recordPossibleStart(target)
    },
    isCold: (target) => coldTargets.limitPerS(target) !== undefined,
    isBrittle: (targetId) => brittle.find(targetId) !== undefined,
    waitMs(targets) {
      let waitMs = Infinity
      for (const target of targets)
        waitMs = Math.min(waitMs, waitForTargetMs(target))
      return waitMs
    },
  }
}
