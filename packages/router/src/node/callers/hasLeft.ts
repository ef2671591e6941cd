import type { ServerResponse } from 'node:http'
import { setImmediate as nextCheck } from 'node:timers/promises'

/**
 * Resolves to whether a caller has closed its connection. A close that arrived
 * together with the request is read in the turn of the event loop after it.
 */
export async function hasLeft(res: ServerResponse): Promise<boolean> {
  await nextCheck()
  await nextCheck()
  return res.destroyed || res.req.socket.readableEnded
}
