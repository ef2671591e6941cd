import type { Result } from 'neverthrow'
import type { RoutedRequest } from '../callers/routedRequest.js'
import type { TargetFailure } from './targetFailure.js'
import type { TargetResponse } from './targetResponse.js'

/** Id and address of a target. */
export interface TargetAddress {
  readonly id: string
  /** Host and port. */
  readonly address: string
}

/** Options for sending one request. */
export interface SendOptions {
  /** Opens a new connection for this request. @default false */
  readonly newConnection?: boolean
}

/** Point at which a broken stream is resumed. */
export interface ResumePoint {
  readonly runId: string
  /** Number of the first requested event. */
  readonly from: number
}

/** Sends requests to targets; a connection carries one request at a time. */
export interface TargetClient {
  /** Sends a request once; the failure states whether it may have run. */
  send(
    target: TargetAddress,
    request: RoutedRequest,
    traceHeaders: Record<string, string>,
    options?: SendOptions,
  ): Promise<Result<TargetResponse, TargetFailure>>
  /** Requests the rest of a run's stream on a new connection. */
  resume(
    target: TargetAddress,
    request: RoutedRequest,
    point: ResumePoint,
    traceHeaders: Record<string, string>,
  ): Promise<Result<TargetResponse, TargetFailure>>
  /** Cancels a run that no caller waits for; does not wait for the response. */
  cancel(target: TargetAddress, runId: string): void
  close(): void
}
