import type { IncomingMessage } from 'node:http'
import type { ResponseHead } from './responseHead.js'
import type { Target } from './target.js'

/** What a router adds to a request for one target. */
export interface TargetRequestOptions {
  readonly bodyBytes: number
  /** Milliseconds that are left for the answer. */
  readonly remainingMs: number
  readonly target: Target
  readonly customer?: string
  /** 0 is the most urgent; undefined leaves it to the target. */
  readonly priority?: number
  /** Another target, whose cache holds what the request shares with others. */
  readonly fetchFrom?: Target
  /** Last event that the caller has, of a stream that goes on. */
  readonly lastEventId?: string
}

/** How requests to targets and their answers are written. */
export interface TargetProtocol {
  /** Returns names and values, alternating, for the request of a caller. */
  requestHeaders(
    rawHeaders: readonly string[],
    orders: TargetRequestOptions,
  ): string[]
  decodeHead(res: IncomingMessage, attemptId: string): ResponseHead
  /** Returns names and values, alternating, that the caller gets. */
  responseHeaders(rawHeaders: readonly string[]): string[]
}
