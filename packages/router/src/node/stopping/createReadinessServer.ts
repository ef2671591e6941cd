import { createServer } from 'node:http'
import {
  closeServer,
  listen,
  type ListenAddress,
} from '@auburnbay/http-utils/listen'

import {
  type ConnectionLimitsOptions,
  limitConnections,
} from '../connections/limitConnections.js'

/** Endpoint that reports to the load balancer whether the router accepts new connections. */
export interface ReadinessServer {
  close(): Promise<void>
}

/** Starts serving 200 or 503 on every path; rejects when the address is in use. */
export async function createReadinessServer(
  address: ListenAddress,
  isReady: () => boolean,
  limitsOptions: ConnectionLimitsOptions,
): Promise<ReadinessServer> {
  const server = createServer((_req, res) => {
    limits.submit(res, () => {
      res.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 })
      res.end()
    })
  })
  const limits = limitConnections(server, limitsOptions)
  await listen(server, address)
  return {
    close() {
      limits.stop()
      server.closeAllConnections()
      return closeServer(server)
    },
  }
}
