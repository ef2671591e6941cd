import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetFailure } from './targetFailure.js'
import type { TargetResponse } from './targetResponse.js'

/** A target to send to. */
export interface TargetAddress {
  readonly id: string
  /** Host and port. */
  readonly address: string
}

/** How one request is sent. */
export interface SendOptions {
  /** Opens a new connection for this request. @default false */
  readonly newConnection?: boolean
}

/** Where a broken stream goes on. */
export interface ResumePoint {
  readonly runId: string
  /** Number of the first event wanted. */
  readonly from: number
}

/** Sends requests to targets, one at a time on each connection. */
export interface TargetClient {
  /** Sends once; the failure says whether the request may have run. */
  send(
    target: TargetAddress,
    request: RoutedRequest,
    traceHeaders: Record<string, string>,
    options?: SendOptions,
  ): Promise<Result<TargetResponse, TargetFailure>>
  /** Asks for the rest of a run's stream on a new connection. */
  resume(
    target: TargetAddress,
    request: RoutedRequest,
    point: ResumePoint,
    traceHeaders: Record<string, string>,
  ): Promise<Result<TargetResponse, TargetFailure>>
  /** Tells an engine that nobody waits for a run any more; does not wait. */
  cancel(target: TargetAddress, runId: string): void
  close(): void
}
