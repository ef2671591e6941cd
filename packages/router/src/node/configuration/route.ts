import type { RequestKind } from './requestKind.js'
import type { WeightedService } from './weightedService.js'

/** Services and limits for requests to a host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  readonly services: readonly WeightedService[]
  /** Time until the final response is due, in milliseconds. */
  readonly timeoutMs: number
  /** Time until a response, or the first event of a stream, is due, in milliseconds. */
  readonly targetLatencyMs: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** Maximum number of targets that may run one request. */
  readonly maxAttempts: number
  /** Whether requests need no key. */
  readonly anonymous: boolean
  /** Whether requests list the prompt parts that targets cache. */
  readonly cachesPrompts: boolean
  /** Whether another target may resume an interrupted stream. */
  readonly resumable: boolean
}
