import { createServer } from 'node:http'
import {
  closeServer,
  listen,
  type ListenAddress,
} from '@auburnbay/http-utils/listen'

/** Endpoint that reports to the load balancer whether the router accepts new connections. */
export interface ReadinessServer {
  close(): Promise<void>
}

/** Starts serving 200 or 503 on every path; rejects when the address is in use. */
export async function createReadinessServer(
  address: ListenAddress,
  isReady: () => boolean,
): Promise<ReadinessServer> {
  const server = createServer((_req, res) => {
    res.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 })
    res.end()
  })
  await listen(server, address)
  return {
    close() {
      server.closeAllConnections()
      return closeServer(server)
    },
  }
}
