import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

/** The head of a target's response; the body is still to be read. */
export interface TargetResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /**
   * Yields the body; throws when it is truncated or the idle timeout expires.
   */
  chunks(): AsyncGenerator<Buffer, void, void>
  readonly body: IncomingMessage
}
