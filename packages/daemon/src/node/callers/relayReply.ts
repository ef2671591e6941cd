import type { ServerResponse } from 'node:http'
import { pipeline } from 'node:stream/promises'
import {
  CACHE_HEADER,
  HINT_HEADER,
  TARGET_HEADER,
  Verdict,
  VERDICT_HEADER,
} from '@auburnbay/core'
import type { Placement } from '../routing/routing.js'
import { headersToCaller } from '../targets/forwardedHeaders.js'
import type { TargetReply } from '../targets/targetReply.js'

const ENGINE_CACHE_HEADER = 'x-engine-cache'

/** Passes a target's answer on; rejects and breaks the answer when it is cut. */
export async function relayReply(
  res: ServerResponse,
  placement: Placement,
  reply: TargetReply,
): Promise<void> {
  const cache = reply.headers[ENGINE_CACHE_HEADER]
  res.writeHead(reply.status, {
    ...headersToCaller(reply.headers),
    [TARGET_HEADER]: placement.target.id,
    [VERDICT_HEADER]: Verdict.Ran,
    ...(cache === undefined ? {} : { [CACHE_HEADER]: cache }),
    ...(placement.hint === undefined ? {} : { [HINT_HEADER]: placement.hint }),
  })
  res.flushHeaders()
  // A cut answer destroys the response, so that it never ends cleanly.
  await pipeline(reply.body, res)
}
