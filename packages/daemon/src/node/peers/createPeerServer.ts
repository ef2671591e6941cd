import type { RequestListener } from 'node:http'
import type { Socket } from 'node:net'
import {
  closeServer,
  createWebServer,
  listen,
  type ListenAddress,
} from '@auburnbay/http-utils'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { ControlPurpose } from '../metrics/controlPurpose.js'
import type { Network } from '../security/createNetwork.js'
import type { ResolvedSettings } from '../settings/settingsSchema.js'
import { createPeerApi, type PeerHandlers } from './peerApi.js'
import { PEER_SECRET_HEADER, secretsMatch } from './peerSecret.js'

/** Listener for calls from other routers. */
export interface PeerServer {
  readonly address: ListenAddress
  stop(): Promise<void>
}

/** Starts listening for calls from other routers. */
export async function createPeerServer(
  settings: ResolvedSettings,
  handlers: PeerHandlers,
  /** Without it, the server uses plain HTTP and counts no traffic. */
  network?: Pick<Network, 'certificates' | 'traffic'>,
): Promise<PeerServer> {
  const handler = createHTTPHandler({
    router: createPeerApi(handlers),
    createContext: ({ req }) => ({
      authenticated: secretsMatch(
        String(req.headers[PEER_SECRET_HEADER] ?? ''),
        settings.secrets.peer,
      ),
    }),
  })
  const { tls } = settings.listen.peers
  const serve: RequestListener = (req, res) => {
    // Peers need neither header: HTTP/1.1 keeps connections alive by default.
    res.sendDate = false
    res.removeHeader('connection')
    handler(req, res)
  }
  const server = network
    ? network.certificates.createServer({}, serve, tls)
    : createWebServer({}, serve)
  server.on('connection', (socket: Socket) => {
    network?.traffic.trackSocket(ControlPurpose.Peers, socket)
  })
  const address = await listen(server, settings.listen.peers)
  return {
    address,
    stop: async () => {
      const closed = closeServer(server)
      server.closeAllConnections()
      await closed
    },
  }
}
