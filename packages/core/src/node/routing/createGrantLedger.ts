import {
  CREDIT_LOAD_FACTOR,
  DEFAULT_CREDIT_BATCH_SIZE,
  MAX_CREDIT_SHARE,
} from './constants.js'
import { createPeakLoadWindow } from './createPeakLoadWindow.js'
import { createRouterUsageTable } from './createRouterUsageTable.js'
import type {
  CollectResponse,
  GrantRequest,
  GrantResponse,
  PlacementRequest,
} from './grantMessages.js'
import { GrantStatus } from './grantStatus.js'
import type { LedgerContext } from './ledgerContext.js'
import { rendezvousOrder } from './rendezvousOrder.js'
import type { TargetGroup } from './targetGroup.js'

/** Options for {@link createGrantLedger}. */
export interface GrantLedgerOptions {
  readonly group: TargetGroup
  /** Must be greater than every epoch known to the coordinator. */
  readonly epoch: number
  /**
   * Maximum number of credits that one router holds on one target.
   * @default DEFAULT_CREDIT_BATCH_SIZE
   */
  readonly creditBatchSize?: number
}

/** Load and load bound of one target in the ledger. */
export interface LedgerStatus {
  /** Slots held by all routers, and load that no router reported. */
  readonly held: number
  readonly bound: number
}

/** The coordinator's record of the slots that each router holds in a group. */
export interface GrantLedger {
  readonly epoch: number
  /** Routers whose usage is required before slots are granted. */
  readonly missingRouters: Set<string>
  applyCollectResponse(response: CollectResponse, nowMs: number): void
  handleGrantRequest(
    request: GrantRequest,
    context: LedgerContext,
  ): GrantResponse
  /** Removes a departed router and its slots. */
  removeRouter(router: string, nowMs: number): void
  /** Returns the routers whose last message is older than `sinceMs`. */
  findStaleRouters(sinceMs: number): string[]
  hasRouter(router: string): boolean
  status(context: LedgerContext): LedgerStatus[]
}

/** Creates the ledger of a group for one epoch. */
export function createGrantLedger(options: GrantLedgerOptions): GrantLedger {
  const { group, epoch } = options
  const size = group.members.length
  const creditBatchSize = options.creditBatchSize ?? DEFAULT_CREDIT_BATCH_SIZE
  const members = group.members.map(({ id, weight }, index) => ({
    id,
    weight,
    index,
  }))
  const missingRouters = new Set<string>()
  const usageTable = createRouterUsageTable(size)
  const peakLoads = createPeakLoadWindow(size)

  const zeros = (): number[] => new Array<number>(size).fill(0)

  function loadsOf(context: LedgerContext): number[] {
    const held = members.map(({ index }) => usageTable.heldSlots(index))
    peakLoads.record(held, context.nowMs)
    return held.map(
      (load, index) =>
        load + peakLoads.unaccountedLoad(index, context.reported(index)),
    )
  }

  function eligibleWeight(context: LedgerContext): number {
    let total = 0
    for (const { index, weight } of members)
      if (context.eligible(index)) total += weight
    return total
  }

  function meanLoad(context: LedgerContext, starting: number): number {
    const isEligible = (index: number): boolean => context.eligible(index)
    const total = usageTable.estimateMinLoad(isEligible, context.nowMs)
    const weight = Math.max(eligibleWeight(context), Number.EPSILON)
    const mean = (total + starting) / weight
    return Math.min(mean, context.serviceMean ?? mean)
  }

  function preferenceOrder(placement: PlacementRequest): typeof members {
    const { key, hint } = placement
    const order = rendezvousOrder(key, members)
    const hinted = hint === undefined ? undefined : members[hint]
    return hinted ? [hinted, ...order] : order
  }

  function selectTarget(
    placement: PlacementRequest,
    loads: readonly number[],
    context: LedgerContext,
  ): number {
    const limit = context.maxLoadFactor * meanLoad(context, 1)
    for (const { index, weight } of preferenceOrder(placement)) {
      if (!context.eligible(index) || placement.exclude.includes(index))
        continue
      if ((loads[index] ?? 0) <= limit * weight) return index
    }
    return selectLeastLoaded(placement, loads, context)
  }

  // With few requests on few targets the mean of the low estimate admits no
  // target. The mean of the actual counts admits the least loaded one.
  function selectLeastLoaded(
    placement: PlacementRequest,
    loads: readonly number[],
    context: LedgerContext,
  ): number {
    let leastLoaded = -1
    let lowest = Infinity
    let total = 1
    for (const { index, weight } of members) {
      if (!context.eligible(index)) continue
      const load = loads[index] ?? 0
      total += load
      if (placement.exclude.includes(index) || load / weight >= lowest) continue
      leastLoaded = index
      lowest = load / weight
    }
    const mean = total / Math.max(eligibleWeight(context), Number.EPSILON)
    return lowest <= context.maxLoadFactor * mean ? leastLoaded : -1
  }

  function grantSlots(request: GrantRequest, context: LedgerContext): number[] {
    const loads = loadsOf(context)
    const granted: number[] = []
    for (const placement of request.wants) {
      const index = selectTarget(placement, loads, context)
      granted.push(index)
      if (index < 0) continue
      loads[index] = (loads[index] ?? 0) + 1
      usageTable.addInFlight(request.router, index)
    }
    return granted
  }

  function grantCredits(router: string, context: LedgerContext): number[] {
    const granted = zeros()
    const loads = loadsOf(context)
    const mean = meanLoad(context, 0)
    const credits = usageTable.get(router)?.credits ?? []
    let available =
      Math.floor(mean * eligibleWeight(context) * MAX_CREDIT_SHARE) -
      usageTable.outstandingCredits
    const leastLoadedFirst = [...members].sort(
      (a, b) =>
        (loads[a.index] ?? 0) / a.weight - (loads[b.index] ?? 0) / b.weight,
    )
    for (const { index, weight } of leastLoadedFirst) {
      if (available <= 0) break
      const headroom = Math.floor(
        CREDIT_LOAD_FACTOR * mean * weight - (loads[index] ?? 0),
      )
      const unfilled = creditBatchSize - (credits[index] ?? 0)
      const count = Math.min(headroom, unfilled, available)
      if (count <= 0 || !context.eligible(index)) continue
      granted[index] = count
      usageTable.grantCredits(router, index, count)
      available -= count
    }
    return granted
  }

  function refuse(status: GrantStatus, request: GrantRequest): GrantResponse {
    const granted = request.wants.map(() => -1)
    return { status, epoch, granted, loans: [] }
  }

  /** Returns false for a message that arrived out of order. */
  function recordUsage(request: GrantRequest, nowMs: number): boolean {
    const { router, incarnation, sequence, used, finished } = request
    const known = usageTable.get(router)
    if (known?.incarnation === incarnation && sequence <= known.sequence)
      return false
    const credits = request.epoch === epoch ? [...request.credits] : zeros()
    const usage = {
      incarnation,
      sequence,
      atMs: nowMs,
      inFlight: [...used],
      credits,
    }
    usageTable.replace(router, usage, finished)
    missingRouters.delete(router)
    return true
  }

  return {
    epoch,
    missingRouters,
    applyCollectResponse(response, nowMs) {
      const { router, incarnation, used } = response
      missingRouters.delete(router)
      if (usageTable.get(router)?.incarnation === incarnation) return
      const usage = {
        incarnation,
        sequence: 0,
        atMs: nowMs,
        inFlight: [...used],
        credits: zeros(),
      }
      usageTable.replace(router, usage, 0)
    },
    handleGrantRequest(request, context) {
      if (request.membersHash !== group.membersHash)
        return refuse(GrantStatus.ViewsDiffer, request)
      if (request.epoch > epoch) return refuse(GrantStatus.Stale, request)
      if (!recordUsage(request, context.nowMs))
        return refuse(GrantStatus.Stale, request)
      // A router on an older epoch may still be using credits of that epoch.
      if (missingRouters.size > 0 || request.epoch < epoch)
        return refuse(GrantStatus.Collecting, request)
      const granted = grantSlots(request, context)
      const loans = grantCredits(request.router, context)
      return { status: GrantStatus.Granted, epoch, granted, loans }
    },
    removeRouter(router, nowMs) {
      usageTable.remove(router, nowMs)
      missingRouters.delete(router)
    },
    findStaleRouters: (sinceMs) =>
      usageTable
        .routers()
        .filter((id) => (usageTable.get(id)?.atMs ?? 0) < sinceMs),
    hasRouter: (router) => usageTable.get(router) !== undefined,
    status(context) {
      const bound = context.maxLoadFactor * meanLoad(context, 1)
      const loads = loadsOf(context)
      return members.map(({ index, weight }) => ({
        held: loads[index] ?? 0,
        bound: bound * weight + 1,
      }))
    },
  }
}
