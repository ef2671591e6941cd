/** Address on which a router listens for its peers, over both UDP and TCP. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}
