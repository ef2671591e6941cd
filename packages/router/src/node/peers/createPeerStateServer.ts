import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import { listen } from '@auburnbay/http-utils/listen'
import { sendJson } from '@auburnbay/http-utils/sendJson'
import {
  type ConnectionLimitsOptions,
  limitConnections,
} from '../connections/limitConnections.js'
import { failures } from '../callers/failures.js'
import { refuseRequest } from '../callers/refuseRequest.js'
import type { PeerAddress } from './peerAddress.js'
import {
  decodeRelayedRequest,
  type RelayedRequestHandler,
} from './relayedRequest.js'
import {
  encodePeerState,
  type PeerState,
  type PeerStateQuery,
} from './peerState.js'

/** Maximum size of request headers in bytes, above that of a relayed request. */
const MAX_HEADER_BYTES = 80 * 1024
/** Path at which a router serves its state. */
const STATE_PATH = '/state'

/** Names of the query parameters. */
enum Parameter {
  KnownVersion = 'known',
  TargetsFingerprint = 'targets',
  Placements = 'placements',
  Records = 'records',
}

/** Returns the path and query of a request for a peer's state. */
export function statePath(query: PeerStateQuery): string {
  const { knownVersion, targetsFingerprint } = query
  const search = new URLSearchParams({
    [Parameter.KnownVersion]: String(knownVersion),
    ...(targetsFingerprint !== undefined && {
      [Parameter.TargetsFingerprint]: String(targetsFingerprint),
    }),
    ...(query.wantsPlacements && { [Parameter.Placements]: '' }),
    ...(query.wantsRecords && { [Parameter.Records]: '' }),
  })
  return `${STATE_PATH}?${search.toString()}`
}

function parseQuery(search: URLSearchParams): PeerStateQuery {
  const fingerprint = search.get(Parameter.TargetsFingerprint)
  return {
    knownVersion: Number(search.get(Parameter.KnownVersion) ?? 0),
    ...(fingerprint !== null && { targetsFingerprint: Number(fingerprint) }),
    wantsPlacements: search.has(Parameter.Placements),
    wantsRecords: search.has(Parameter.Records),
  }
}

/** Serves this router's state to its peers. */
export interface PeerStateServer {
  readonly address: PeerAddress
  close(): void
}

/** Starts listening for peers; rejects if the address is in use. */
export async function createPeerStateServer(
  address: PeerAddress,
  stateFor: (query: PeerStateQuery) => PeerState,
  onRelayed: RelayedRequestHandler,
  limitsOptions: ConnectionLimitsOptions,
): Promise<PeerStateServer> {
  function sendState(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://peer')
    if (url.pathname !== STATE_PATH) {
      sendJson(res, 404, { error: `ask for ${STATE_PATH}` })
      return
    }
    const body = encodePeerState(stateFor(parseQuery(url.searchParams)))
    res.writeHead(200, { 'content-length': body.length })
    res.end(body)
  }

  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES },
    (req, res) => {
      const relayed = decodeRelayedRequest(req.headers)
      const run = relayed
        ? () => {
            const work = limits.beginWork(res)
            res.once('close', () => {
              work.end()
            })
            onRelayed(req, res, relayed)
          }
        : () => {
            sendState(req, res)
          }
      limits.submit(res, run, () => {
        refuseRequest(req, res, failures.tooManyRequests, relayed !== undefined)
      })
    },
  )
  const limits = limitConnections(server, limitsOptions)
  return {
    address: await listen(server, address),
    close() {
      limits.stop()
      server.close()
      server.closeAllConnections()
    },
  }
}
