import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http'
import type { Socket } from 'node:net'
import {
  formatAddress,
  listen,
  type ListenAddress,
  readBody,
  sendJson,
} from '@auburnbay/http-utils'
import { MAX_BODY_BYTES } from '../constants.js'
import type { StandIn } from './standIn.js'

/** A request to a stand-in, with its parsed JSON body. */
export interface StandInRequest {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly method: string
  readonly url: URL
  readonly body: unknown
}

/** Handles a request to a stand-in. */
export type StandInHandler = (call: StandInRequest) => Promise<void> | void

function parseJson(text: string): unknown {
  try {
    return text === '' ? undefined : JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Called when the headers of a request have arrived; returns false to ignore the request. */
export type HeadHandler = (req: IncomingMessage) => boolean

async function handleRequest(
  handler: StandInHandler,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const body = await readBody(req, MAX_BODY_BYTES)
  if (body.isErr()) {
    res.destroy()
    return
  }
  await handler({
    req,
    res,
    method: req.method ?? 'GET',
    url: new URL(req.url ?? '/', 'http://stand-in'),
    body: parseJson(body.value.toString('utf8')),
  })
}

/** Starts an HTTP server for a stand-in. */
export async function createStandIn(
  handler: StandInHandler,
  address: ListenAddress = { host: '127.0.0.1', port: 0 },
  onHead: HeadHandler = () => true,
): Promise<StandIn> {
  const sockets = new Set<Socket>()
  const stalled = new WeakSet<Socket>()
  const server = createServer((req, res) => {
    if (stalled.has(req.socket) || !onHead(req)) return
    handleRequest(handler, req, res).catch((error: unknown) => {
      if (res.headersSent) res.destroy()
      else sendJson(res, 500, { error: String(error) })
    })
  })
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  const boundAddress = await listen(server, address)
  return {
    address: boundAddress,
    url: `http://${formatAddress(boundAddress)}`,
    stallConnections: () => {
      for (const socket of sockets) {
        stalled.add(socket)
        socket.cork()
      }
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve()
        })
        server.closeAllConnections()
      }),
  }
}
