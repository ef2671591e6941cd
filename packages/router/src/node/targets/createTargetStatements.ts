import {
  createTargetLimits,
  type TargetLimits,
  type TargetLimitsOptions,
} from '../limits/createTargetLimits.js'
import { createTargetPauses } from '../limits/createTargetPauses.js'
import { type RouterMetrics, StatementKind } from '../metrics/routerMetrics.js'
import {
  createLeavingTargets,
  type LeavingTargetsOptions,
} from './createLeavingTargets.js'
import type { Target } from './target.js'
import type { TargetStatement } from './targetStatement.js'

/** Options for {@link createTargetStatements}. */
export type TargetStatementsOptions = LeavingTargetsOptions &
  Omit<TargetLimitsOptions, 'pauses'> & {
    readonly metrics: Pick<RouterMetrics, 'recordStatement'>
  }

/** What targets have said of themselves, and what it means for requests to them. */
export interface TargetStatements {
  readonly limits: TargetLimits
  /** Records what a target says in a response to any call. */
  observe(target: Target, statement: TargetStatement): void
  /** Whether a target that was chosen accepts requests; asked as a request is written, as it may have left meanwhile. */
  acceptsRequests(target: Target): boolean
}

/** Creates an empty set of statements. */
export function createTargetStatements(
  options: TargetStatementsOptions,
): TargetStatements {
  const { targetList, metrics } = options
  const pauses = createTargetPauses(options)
  const limits = createTargetLimits({ ...options, pauses })
  const leavingTargets = createLeavingTargets(options)
  return {
    limits,
    observe(target, statement) {
      const { leaving, pauseS } = statement
      if (pauseS !== undefined) {
        pauses.observe(target, pauseS)
        metrics.recordStatement(StatementKind.Pause)
      }
      if (leaving) {
        leavingTargets.add(target)
        metrics.recordStatement(StatementKind.Leaving)
      }
      limits.observe(target.id, statement)
    },
    acceptsRequests: (target) =>
      targetList.isStillReady(target) && pauses.waitMs(target) === 0,
  }
}
