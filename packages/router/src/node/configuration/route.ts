import type { RequestKind } from './requestKind.js'
import type { WeightedService } from './weightedService.js'

/** Where requests to a host and path go, and under which limits. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  readonly services: readonly WeightedService[]
  /** Milliseconds after which a request gets its final answer. */
  readonly timeoutMs: number
  /** Milliseconds within which an answer, or a stream's first event, is due. */
  readonly targetLatencyMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Targets that may run one request. */
  readonly maxAttempts: number
  /** Whether requests need no key. */
  readonly anonymous: boolean
  /** Whether requests name the parts of a prompt that targets cache. */
  readonly cachesPrompts: boolean
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean
}
