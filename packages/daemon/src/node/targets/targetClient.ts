import type { RequestFailure } from '@auburnbay/core'
import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetReply } from './targetReply.js'

/** A target to send to. */
export interface TargetAddress {
  readonly id: string
  /** Host and port. */
  readonly address: string
}

/** Sends requests to targets, one at a time on each connection. */
export interface TargetClient {
  /** Sends once; the failure says whether the request may have run. */
  send(
    target: TargetAddress,
    request: RoutedRequest,
    traceHeaders: Record<string, string>,
  ): Promise<Result<TargetReply, RequestFailure>>
  close(): void
}
