import type { ListenAddress } from '@auburnbay/http-utils'

/** A running stand-in for an external system. */
export interface StandIn {
  readonly address: ListenAddress
  /** Base URL, such as `http://127.0.0.1:8000`. */
  readonly url: string
  /** Stalls all open connections permanently; new connections work. */
  stallConnections(): void
  /** Stops the server and closes all connections at once. */
  close(): Promise<void>
}
