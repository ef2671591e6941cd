import type { AddressInfo, Server } from 'node:net'
import type { WebServer } from './createWebServer.js'

/** Address that a server listens on; port 0 selects a free port. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** Starts listening and resolves to the bound address; rejects when it is in use. */
export function listen(
  server: Server,
  address: ListenAddress,
): Promise<ListenAddress> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(address.port, address.host, () => {
      server.off('error', reject)
      const { port } = server.address() as AddressInfo
      resolve({ host: address.host, port })
    })
  })
}

/** Stops listening and resolves once every connection has ended. */
export function closeServer(server: WebServer): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve()
    })
    server.closeIdleConnections()
  })
}

/** Formats an address as `host:port`. */
export function formatAddress(address: ListenAddress): string {
  return `${address.host}:${address.port}`
}
