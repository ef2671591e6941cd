import { LRUCache } from 'lru-cache'
import type { DecisionLog } from '../logging/decisionLog.js'
import { LogEvent } from '../logging/logEvent.js'
import type { ResponseHead } from '../targets/responseHead.js'
import type { Target } from '../targets/target.js'

/** Options for {@link createTargetLimits}. */
export interface TargetLimitsOptions {
  readonly log: DecisionLog
}

/** Limits on the requests per second that targets take from the whole fleet. */
export interface TargetLimits {
  /** Records the limit in the head of a response. */
  observe(target: Target, head: ResponseHead): void
}

/** Targets whose limits are remembered. */
const MAX_TARGETS = 10_000

/** Creates limits without an observation. */
export function createTargetLimits({ log }: TargetLimitsOptions): TargetLimits {
  const limits = new LRUCache<string, number>({ max: MAX_TARGETS })
  return {
    observe({ id }, { requestLimitPerS, signed }) {
      const known = limits.get(id)
      // A refusal may lack the limit.
      if (requestLimitPerS === known) return
      if (requestLimitPerS === undefined && !signed) return
      if (requestLimitPerS === undefined) limits.delete(id)
      else limits.set(id, requestLimitPerS)
      log.write(LogEvent.TargetLimit, { target: id, limit: requestLimitPerS })
    },
  }
}
