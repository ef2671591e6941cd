import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

/** The head of a target's answer, with the body still to be read. */
export interface TargetResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  /** Yields the body; throws when it is cut or silent beyond the limit. */
  chunks(): AsyncGenerator<Buffer, void, void>
  readonly body: IncomingMessage
}
