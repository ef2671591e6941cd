import {
  createServer as createHttpServer,
  type RequestListener,
  type Server as HttpServer,
  type ServerOptions,
} from 'node:http'
import {
  createServer as createHttpsServer,
  type Server as HttpsServer,
} from 'node:https'
import type { TlsMaterial } from './tlsFiles.js'

/** An HTTP server with or without TLS. */
export type WebServer = HttpServer | HttpsServer

/** Creates a server; with a CA it requires client certificates signed by it. */
export function createWebServer(
  options: ServerOptions,
  listener: RequestListener,
  tls?: TlsMaterial,
): WebServer {
  if (!tls) return createHttpServer(options, listener)
  const requestCert = tls.ca !== undefined
  const secure = { ...options, ...tls, requestCert, rejectUnauthorized: true }
  return createHttpsServer(secure, listener)
}
