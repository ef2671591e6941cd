import { createServer } from 'node:http'
import { listen } from '@auburnbay/http-utils/listen'
import { sendJson } from '@auburnbay/http-utils/sendJson'
import type { PeerAddress } from './peerAddress.js'
import {
  encodePeerState,
  type PeerState,
  type PeerStateQuery,
} from './peerState.js'

/** Path of a router's state. */
const STATE_PATH = '/state'

/** Names of what a query says. */
enum Field {
  KnownVersion = 'known',
  TargetsFingerprint = 'targets',
  Placements = 'placements',
}

/** Returns the path with which a peer's state is asked for. */
export function statePath(query: PeerStateQuery): string {
  const { knownVersion, targetsFingerprint } = query
  const search = new URLSearchParams({
    [Field.KnownVersion]: String(knownVersion),
    ...(targetsFingerprint !== undefined && {
      [Field.TargetsFingerprint]: String(targetsFingerprint),
    }),
    ...(query.wantsPlacements && { [Field.Placements]: '' }),
  })
  return `${STATE_PATH}?${search.toString()}`
}

function parseQuery(search: URLSearchParams): PeerStateQuery {
  const fingerprint = search.get(Field.TargetsFingerprint)
  return {
    knownVersion: Number(search.get(Field.KnownVersion) ?? 0),
    ...(fingerprint !== null && { targetsFingerprint: Number(fingerprint) }),
    wantsPlacements: search.has(Field.Placements),
  }
}

/** Lends this router's state to its peers. */
export interface PeerStateServer {
  readonly address: PeerAddress
  close(): void
}

/** Starts listening for peers; rejects when the address is in use. */
export async function createPeerStateServer(
  address: PeerAddress,
  stateFor: (query: PeerStateQuery) => PeerState,
): Promise<PeerStateServer> {
  const server = createServer((req, res) => {
    const url = new URL(req.url ?? '/', 'http://peer')
    if (url.pathname !== STATE_PATH) {
      sendJson(res, 404, { error: `ask for ${STATE_PATH}` })
      return
    }
    const body = encodePeerState(stateFor(parseQuery(url.searchParams)))
    res.writeHead(200, { 'content-length': body.length })
    res.end(body)
  })
  return {
    address: await listen(server, address),
    close() {
      server.close()
      server.closeAllConnections()
    },
  }
}
