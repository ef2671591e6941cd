import type { RequestFailure } from '@auburnbay/core/verdict/requestFailure'
import type { AdmissionExplanation } from '../admission/createServiceAdmissions.js'
import type { RetryUsage } from '../limits/createRetryBudget.js'
import type { TargetExclusion } from '../targets/targetExclusion.js'

/** A target of the service, and why it may get the request or not. */
export interface ExplainedCandidate {
  readonly target: string
  readonly dataCentre: string | undefined
  /** Requests in flight, of all routers. */
  readonly requests: number
  readonly pendingPromptTokens: number
  readonly cachesPrompt: boolean
  /** Absent if it may get the request. */
  readonly exclusion?: TargetExclusion
}

/** The target that a request would go to, and why. */
export interface ExplainedChoice {
  readonly target: string
  readonly reason: string
  readonly prefillTokens: number
  /** Target that the prompt would be fetched from. */
  readonly fetchFrom?: string
}

/** Where a request would go now, in the order in which the router decides. */
export interface Explanation {
  readonly router: string
  readonly configurationVersion: number
  /** Upper bound on the staleness of the target list, in milliseconds; null if unknown. */
  readonly targetsAgeMs: number | null
  /** Age of the oldest report of load that counts, in milliseconds. */
  readonly loadAgeMs: number
  readonly evacuatedDataCentres: readonly string[]
  readonly route?: string
  readonly service?: string
  readonly customer?: string
  /** 0 is the most urgent. */
  readonly rank?: number
  /** Why it would be refused before any target is considered. */
  readonly refusal?: Pick<RequestFailure, 'status' | 'code' | 'message'>
  readonly admission?: AdmissionExplanation
  readonly candidates?: readonly ExplainedCandidate[]
  /** Absent if no target would get it. */
  readonly choice?: ExplainedChoice
  /** Retries of this router to the service. */
  readonly retries?: RetryUsage
}
