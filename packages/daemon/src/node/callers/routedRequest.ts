import type { ServiceKind } from '@auburnbay/core'
import type { IncomingHttpHeaders } from 'node:http'

/** A checked request on its way to a target. */
export interface RoutedRequest {
  /** Identity towards the target, which echoes it. */
  readonly id: string
  readonly customer: string
  readonly service: string
  readonly serviceKind: ServiceKind
  /** The chat; empty for a request outside any chat. */
  readonly chat: string
  readonly requestKind: string
  /** 0 is the most urgent. */
  readonly rank: number
  readonly idempotent: boolean
  readonly idempotencyKey?: string
  /** Milliseconds since the epoch after which the answer is of no use. */
  readonly deadlineAtMs?: number
  /** Affinity hint as the caller sent it. */
  readonly hint?: string
  readonly method: string
  /** Path and query towards the target. */
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  /** Aborted once the caller has gone away. */
  readonly signal: AbortSignal
}
