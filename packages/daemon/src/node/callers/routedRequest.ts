import type { ServiceKind } from '@auburnbay/core'
import type { IncomingHttpHeaders } from 'node:http'

/** A validated request to be sent to a target. */
export interface RoutedRequest {
  /** Sent as the request id to the target, which echoes it. */
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
  /** Deadline in milliseconds since the epoch. */
  readonly deadlineAtMs?: number
  /** Affinity hint as the caller sent it. */
  readonly hint?: string
  readonly method: string
  /** Path and query to send to the target. */
  readonly path: string
  readonly headers: IncomingHttpHeaders
  readonly body: Buffer
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal
}
