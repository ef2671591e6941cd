import { createServer } from 'node:http'
import { listen, type ListenAddress } from '@auburnbay/http-utils/listen'
import {
  type ConnectionLimits,
  type ConnectionLimitsOptions,
  limitConnections,
} from '../connections/limitConnections.js'
import type { ConfigurationStore } from '../configuration/createConfigurationStore.js'
import type { RequestHandler } from './createRequestHandler.js'

/** Maximum size of request headers in bytes, above the limit of any configuration. */
const MAX_HEADER_BYTES = 64 * 1024
/** Time to receive a complete request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000
/** Interval of the check for connections that exceed a timeout, in milliseconds. */
const CONNECTION_CHECK_MS = 1_000
/** Time that an idle connection is kept beyond the configured idle timeout, in milliseconds. */
const KEEP_ALIVE_MARGIN_MS = 1_000

/** Options for {@link createCallerServer}. */
export interface CallerServerOptions {
  readonly address: ListenAddress
  readonly configurationStore: ConfigurationStore
  readonly handler: RequestHandler
  readonly limits: ConnectionLimitsOptions
}

/** HTTP server for callers. */
export interface CallerServer {
  readonly address: ListenAddress
  readonly limits: ConnectionLimits
  /** Stops listening and closes idle connections. */
  stopListening(): void
  /** Closes every connection. */
  close(): void
}

/** Starts listening for callers; rejects when the address is in use. */
export async function createCallerServer({
  address,
  configurationStore,
  handler,
  limits: limitsOptions,
}: CallerServerOptions): Promise<CallerServer> {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
    },
    (req, res) => {
      const active = configurationStore.current?.configuration.limits
      if (active) {
        server.keepAliveTimeout = active.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS
        server.headersTimeout = active.headerTimeoutMs
      }
      limits.submit(
        res,
        (waitedMs) => {
          handler.handle(req, res, {
            waitedMs,
            tryBuffer: (bytes) => limits.tryAddBytes(res, bytes),
            onWork: () => limits.beginWork(res),
          })
        },
        () => {
          handler.refuse(req, res)
        },
      )
    },
  )
  const limits = limitConnections(server, limitsOptions)
  return {
    limits,
    address: await listen(server, address),
    stopListening() {
      server.close()
      server.closeIdleConnections()
    },
    close() {
      limits.stop()
      server.closeAllConnections()
    },
  }
}
