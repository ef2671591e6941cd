import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { setImmediate as nextCheck } from 'node:timers/promises'

/** Resolves to whether a caller has closed its connection before its request was read. */
export type DepartureCheck = (res: ServerResponse) => Promise<boolean>

/**
 * Creates a check. A close that arrived together with the request is read in the
 * turn of the event loop after it. Requests are read late on a new connection, which
 * may have waited to be accepted, and on all while the process is behind.
 * @param isBehind Whether what is read now may have arrived long ago.
 */
export function createDepartureCheck(isBehind: () => boolean): DepartureCheck {
  const known = new WeakSet<Socket>()
  return async (res) => {
    const { socket } = res.req
    if (known.has(socket) && !isBehind()) return false
    known.add(socket)
    await nextCheck()
    await nextCheck()
    return res.destroyed || socket.readableEnded
  }
}
