import type { IncomingMessage } from 'node:http'
import type { ResponseHead } from './responseHead.js'
import type { Target } from './target.js'

/** Data that a router adds to a request for one target. */
export interface TargetRequestOptions {
  readonly bodyBytes: number
  /** Milliseconds that remain until the response is due. */
  readonly remainingMs: number
  readonly target: Target
  readonly customer?: string
  /** 0 is the most urgent; without it the target decides. */
  readonly priority?: number
  /** Another target that caches the shared part of the prompt. */
  readonly fetchFrom?: Target
  /** Last event that the caller received, of a stream that is resumed. */
  readonly lastEventId?: string
}

/** Format of requests to targets and of their responses. */
export interface TargetProtocol {
  /** Returns the headers of a request to a target, as alternating names and values. */
  requestHeaders(
    rawHeaders: readonly string[],
    options: TargetRequestOptions,
  ): string[]
  /**
   * Decodes the head of a response. After another response on the same connection
   * (`isReused`), one that does not name its request may be a late copy of that.
   */
  decodeHead(
    res: IncomingMessage,
    attemptId: string,
    isReused: boolean,
  ): ResponseHead
  /** Returns the headers of a response to the caller, as alternating names and values. */
  responseHeaders(rawHeaders: readonly string[]): string[]
}
