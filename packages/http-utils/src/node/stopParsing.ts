import type { Socket } from 'node:net'

/** Property of Node's internal HTTP parser that is called for each request. */
interface RequestParser {
  onIncoming: () => number
}

/** Tells the parser that the connection changes its protocol, so that it reads no further. */
const END_OF_HTTP = 2

/**
 * Stops an HTTP server from reading further requests out of what a connection has
 * already received: a read of 64 KiB may hold more than a thousand of them, each of
 * which becomes several objects even if the connection was closed meanwhile.
 */
export function stopParsing(socket: Socket): void {
  const { parser } = socket as unknown as { parser?: RequestParser | null }
  if (parser) parser.onIncoming = () => END_OF_HTTP
}
