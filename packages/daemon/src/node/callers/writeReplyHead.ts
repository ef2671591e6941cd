import type { ServerResponse } from 'node:http'
import {
  CACHE_HEADER,
  HINT_HEADER,
  TARGET_HEADER,
  Verdict,
  VERDICT_HEADER,
} from '@auburnbay/core'
import type { TargetSlot } from '../routing/routing.js'
import { headersToCaller } from '../targets/forwardedHeaders.js'
import type { TargetResponse } from '../targets/targetResponse.js'

const ENGINE_CACHE_HEADER = 'x-engine-cache'

/** Passes the head of a target's answer on. */
export function writeReplyHead(
  res: ServerResponse,
  placement: TargetSlot,
  reply: TargetResponse,
  isEventStream: boolean,
): void {
  const cache = reply.headers[ENGINE_CACHE_HEADER]
  const headers = headersToCaller(reply.headers)
  // A resumed stream need not have the length that its first part announced.
  if (isEventStream) delete headers['content-length']
  res.writeHead(reply.status, {
    ...headers,
    [TARGET_HEADER]: placement.target.id,
    [VERDICT_HEADER]: Verdict.Ran,
    ...(cache === undefined ? {} : { [CACHE_HEADER]: cache }),
    ...(placement.hint === undefined ? {} : { [HINT_HEADER]: placement.hint }),
  })
  res.flushHeaders()
}
