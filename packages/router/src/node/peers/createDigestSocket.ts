import { createSocket, type SocketOptions } from 'node:dgram'
import type { PeerAddress } from './peerAddress.js'
import { decodeDigest, encodeDigest, type PeerDigest } from './peerDigest.js'

/** Sends and receives digests as datagrams. */
export interface DigestSocket {
  send(digest: PeerDigest, addresses: readonly PeerAddress[]): void
  close(): void
}

/** Address family, as in dns.lookup. */
const IPV4 = 4

/** Opens a socket; rejects if the address is in use. */
export function createDigestSocket(
  address: PeerAddress,
  onDigest: (digest: PeerDigest, host: string) => void,
  onError: (error: Error) => void,
): Promise<DigestSocket> {
  // Peer addresses are numeric, so no lookup is needed.
  const lookup: SocketOptions['lookup'] = (host, _options, done) => {
    done(null, host, IPV4)
  }
  const socket = createSocket({ type: 'udp4', lookup })
  socket.on('message', (datagram, { address: host }) => {
    const digest = decodeDigest(datagram)
    if (digest) onDigest(digest, host)
  })
  return new Promise((resolve, reject) => {
    socket.once('error', reject)
    socket.bind(address.port, address.host, () => {
      socket.off('error', reject)
      socket.on('error', onError)
      resolve({
        send(digest, addresses) {
          if (addresses.length === 0) return
          const datagram = encodeDigest(digest)
          for (const { host, port } of addresses)
            socket.send(datagram, port, host, () => undefined)
        },
        close() {
          socket.close()
        },
      })
    })
  })
}
