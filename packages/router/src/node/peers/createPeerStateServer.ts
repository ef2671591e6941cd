import { createServer } from 'node:http'
import { listen } from '@auburnbay/http-utils/listen'
import { sendJson } from '@auburnbay/http-utils/sendJson'
import type { PeerAddress } from './peerAddress.js'
import type { PeerState } from './peerState.js'

/** Path of a router's state; `known` is the version that the asker has. */
export const STATE_PATH = '/state'

/** Lends this router's state to its peers. */
export interface PeerStateServer {
  readonly address: PeerAddress
  close(): void
}

/** Starts listening for peers; rejects when the address is in use. */
export async function createPeerStateServer(
  address: PeerAddress,
  stateSince: (knownVersion: number) => PeerState,
): Promise<PeerStateServer> {
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://peer')
    if (url.pathname !== STATE_PATH) {
      sendJson(res, 404, { error: `ask for ${STATE_PATH}` })
      return
    }
    sendJson(res, 200, stateSince(Number(url.searchParams.get('known') ?? 0)))
  })
  return {
    address: await listen(server, address),
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}
