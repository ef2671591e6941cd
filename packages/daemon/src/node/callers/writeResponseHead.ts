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

/** Writes the status and headers of a target's response to the caller. */
export function writeResponseHead(
  res: ServerResponse,
  slot: TargetSlot,
  response: TargetResponse,
  isEventStream: boolean,
): void {
  const cache = response.headers[ENGINE_CACHE_HEADER]
  const headers = headersToCaller(response.headers)
  // A resumed stream may differ in length from what the first response declared.
  if (isEventStream) delete headers['content-length']
  res.writeHead(response.status, {
    ...headers,
    [TARGET_HEADER]: slot.target.id,
    [VERDICT_HEADER]: Verdict.Ran,
    ...(cache === undefined ? {} : { [CACHE_HEADER]: cache }),
    ...(slot.hint === undefined ? {} : { [HINT_HEADER]: slot.hint }),
  })
  res.flushHeaders()
}
