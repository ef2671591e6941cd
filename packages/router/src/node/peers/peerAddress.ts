/** Where a router listens for its peers, over UDP and TCP alike. */
export interface PeerAddress {
  readonly host: string
  readonly port: number
}
