import type { CreditPool } from './createCreditPool.js'
import type { FallbackQuota } from './createFallbackQuota.js'
import type {
  GrantRequest,
  GrantResponse,
  PlacementRequest,
} from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import { rendezvousOrder } from './rendezvousOrder.js'
import { SelectionSource } from './selectionSource.js'
import type { TargetGroup } from './targetGroup.js'

/** Options for {@link createGroupTargetSelector}. */
export interface GroupTargetSelectorOptions {
  readonly group: TargetGroup
  readonly creditPool: CreditPool
  readonly fallbackQuota: FallbackQuota
  /** Milliseconds that a request waits for the coordinator at most. */
  readonly coordinatorTimeoutMs: number
}

/** Inputs of a selector at the time of a decision. */
export interface SelectionContext {
  /** Milliseconds of the monotonic clock. */
  readonly nowMs: number
  readonly hasCoordinator: boolean
  /** Whether this router is the coordinator. */
  readonly isCoordinator: boolean
  /** Whether the target at an index accepts new requests. */
  eligible(index: number): boolean
}

/** Target selected for a request. */
export interface TargetSelection {
  readonly requestId: number
  /** Index of the target; -1 for none. */
  readonly index: number
  readonly source: SelectionSource
  /** Milliseconds that the request waited for the decision. */
  readonly waitedMs: number
}

/** Selects targets of one group for the requests of one router. */
export interface GroupTargetSelector {
  /** Selects a target at once, or returns undefined and queues the request. */
  select(
    requestId: number,
    placement: PlacementRequest,
    context: SelectionContext,
  ): TargetSelection | undefined
  /** Returns the message to send now, if any; at most one is in transit. */
  nextGrantRequest(context: SelectionContext): GrantRequest | undefined
  applyGrantResponse(
    sequence: number,
    response: GrantResponse,
    context: SelectionContext,
  ): TargetSelection[]
  /** Selects targets without the coordinator after a message got no response. */
  handleGrantFailure(
    sequence: number,
    context: SelectionContext,
  ): TargetSelection[]
  /** Selects targets without the coordinator for requests that timed out. */
  expireWaiting(context: SelectionContext): TargetSelection[]
  /** Time at which the next request times out, on the monotonic clock. */
  readonly nextExpiryMs: number | undefined
  /** Frees the slot of a request that ended. */
  release(index: number): void
}

interface WaitingPlacement {
  readonly requestId: number
  readonly placement: PlacementRequest
  readonly sinceMs: number
}

/** Milliseconds without messages to a coordinator that did not respond. */
const COORDINATOR_BACKOFF_MS = 250

/** Milliseconds until a coordinator that was not ready is sent another request. */
export const COORDINATOR_RETRY_MS = 1

/** Creates the selector of one group. */
export function createGroupTargetSelector(
  options: GroupTargetSelectorOptions,
): GroupTargetSelector {
  const { group, creditPool, fallbackQuota, coordinatorTimeoutMs } = options
  const members = group.members.map(({ id, weight }, index) => ({
    id,
    weight,
    index,
  }))
  let waiting: WaitingPlacement[] = []
  let requested: WaitingPlacement[] = []
  let pendingSequence: number | undefined
  let backoffUntilMs = -Infinity
  let retryAtMs = -Infinity

  function* candidates(
    placement: PlacementRequest,
    context: SelectionContext,
  ): Iterable<number> {
    const { key, hint, exclude } = placement
    const isUsable = (index: number): boolean =>
      context.eligible(index) && !exclude.includes(index)
    if (hint !== undefined && isUsable(hint)) yield hint
    for (const { index } of rendezvousOrder(key, members))
      if (isUsable(index)) yield index
  }

  function firstCandidate(
    placement: PlacementRequest,
    context: SelectionContext,
  ): number | undefined {
    for (const index of candidates(placement, context)) return index
    return undefined
  }

  function selectWithoutCoordinator(
    entry: WaitingPlacement,
    context: SelectionContext,
  ): TargetSelection {
    const { requestId, placement, sinceMs } = entry
    const waitedMs = context.nowMs - sinceMs
    for (const index of candidates(placement, context)) {
      if (!fallbackQuota.hasQuota(index)) continue
      fallbackQuota.consume(index)
      creditPool.addInFlight(index)
      return {
        requestId,
        index,
        source: SelectionSource.FallbackQuota,
        waitedMs,
      }
    }
    const index = fallbackQuota.findMostHeadroom(placement.exclude)
    if (index === undefined || !context.eligible(index))
      return { requestId, index: -1, source: SelectionSource.None, waitedMs }
    fallbackQuota.consume(index)
    creditPool.addInFlight(index)
    return { requestId, index, source: SelectionSource.Forced, waitedMs }
  }

  function endGrantRequest(): WaitingPlacement[] {
    const ended = requested
    requested = []
    pendingSequence = undefined
    return ended
  }

  function abandonGrantRequest(context: SelectionContext): TargetSelection[] {
    creditPool.abandonRequest()
    backoffUntilMs = context.nowMs + COORDINATOR_BACKOFF_MS
    return endGrantRequest().map((entry) =>
      selectWithoutCoordinator(entry, context),
    )
  }

  function isCoordinatorUsable(context: SelectionContext): boolean {
    return context.hasCoordinator && context.nowMs >= backoffUntilMs
  }

  return {
    select(requestId, placement, context) {
      const { nowMs } = context
      const index = firstCandidate(placement, context)
      if (index === undefined) {
        const source = SelectionSource.None
        return { requestId, index: -1, source, waitedMs: 0 }
      }
      if (creditPool.consumeCredit(index, nowMs)) {
        fallbackQuota.consume(index)
        const source = SelectionSource.Credit
        return { requestId, index, source, waitedMs: 0 }
      }
      const entry = { requestId, placement, sinceMs: nowMs }
      if (!isCoordinatorUsable(context))
        return selectWithoutCoordinator(entry, context)
      waiting.push(entry)
      return undefined
    },
    nextGrantRequest(context) {
      const { nowMs, isCoordinator } = context
      if (pendingSequence !== undefined || !isCoordinatorUsable(context))
        return undefined
      if (nowMs < retryAtMs) return undefined
      if (waiting.length === 0 && !creditPool.isReportDue(nowMs, isCoordinator))
        return undefined
      requested = waiting
      waiting = []
      const request = creditPool.createGrantRequest(
        requested.map(({ placement }) => placement),
        nowMs,
      )
      pendingSequence = request.sequence
      return request
    },
    applyGrantResponse(sequence, response, context) {
      if (sequence !== pendingSequence) return []
      const granted = creditPool.applyGrantResponse(sequence, response)
      const ended = endGrantRequest()
      if (!granted && response.status === GrantStatus.ViewsDiffer)
        return ended.map((entry) => selectWithoutCoordinator(entry, context))
      if (!granted) {
        // The coordinator may become ready before the requests time out.
        waiting = [...ended, ...waiting]
        retryAtMs = context.nowMs + COORDINATOR_RETRY_MS
        return []
      }
      return ended.map(({ requestId, sinceMs }, position) => {
        const index = granted[position] ?? -1
        if (index >= 0) fallbackQuota.consume(index)
        const source = index < 0 ? SelectionSource.None : SelectionSource.Grant
        return { requestId, index, source, waitedMs: context.nowMs - sinceMs }
      })
    },
    handleGrantFailure(sequence, context) {
      return sequence === pendingSequence ? abandonGrantRequest(context) : []
    },
    expireWaiting(context) {
      const isExpired = ({ sinceMs }: WaitingPlacement): boolean =>
        context.nowMs - sinceMs >= coordinatorTimeoutMs
      const expired = waiting.filter(isExpired)
      const isUnresponsive =
        requested.some(isExpired) ||
        (expired.length > 0 && pendingSequence !== undefined)
      const selections = isUnresponsive ? abandonGrantRequest(context) : []
      waiting = waiting.filter((entry) => !isExpired(entry))
      for (const entry of expired)
        selections.push(selectWithoutCoordinator(entry, context))
      return selections
    },
    get nextExpiryMs() {
      const oldest = requested[0] ?? waiting[0]
      return oldest && oldest.sinceMs + coordinatorTimeoutMs
    },
    release: (index) => {
      creditPool.removeInFlight(index)
    },
  }
}
