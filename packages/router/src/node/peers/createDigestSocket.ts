import { createSocket } from 'node:dgram'
import type { PeerAddress } from './peerAddress.js'
import { decodeDigest, encodeDigest, type PeerDigest } from './peerDigest.js'

/** Sends and receives digests as datagrams. */
export interface DigestSocket {
  send(digest: PeerDigest, addresses: readonly PeerAddress[]): void
  close(): void
}

/** Opens a socket; rejects when the address is in use. */
export function createDigestSocket(
  address: PeerAddress,
  onDigest: (digest: PeerDigest, host: string) => void,
  onError: (error: Error) => void,
): Promise<DigestSocket> {
  const socket = createSocket('udp4')
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
