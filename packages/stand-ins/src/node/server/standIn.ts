import type { ListenAddress } from '@auburnbay/http-utils'

/** A running stand-in for an outside system. */
export interface StandIn {
  readonly address: ListenAddress
  /** Base URL, `http://127.0.0.1:8000`. */
  readonly url: string
  /** Makes the connections open now silent for good; new ones work. */
  stallConnections(): void
  /** Ends it at once, connections included. */
  close(): Promise<void>
}
