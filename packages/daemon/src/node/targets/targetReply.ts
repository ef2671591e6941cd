import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

/** The head of a target's answer, with the body still to be read. */
export interface TargetReply {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: IncomingMessage
}
