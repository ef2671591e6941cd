import { connect } from 'node:net'
import type { ListenAddress } from '@auburnbay/http-utils'

const CLOSE_TIMEOUT_MS = 10_000

/** Sends raw bytes and returns everything received until the peer closes. */
export function sendRaw(address: ListenAddress, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(address)
    let received = ''
    const timer = setTimeout(() => {
      socket.destroy()
      reject(
        new Error(
          `the connection is still open after ${CLOSE_TIMEOUT_MS} ms; received: ${received}`,
        ),
      )
    }, CLOSE_TIMEOUT_MS)
    socket.setEncoding('utf8')
    socket.on('data', (chunk: string) => {
      received += chunk
    })
    socket.on('error', () => undefined)
    socket.once('close', () => {
      clearTimeout(timer)
      resolve(received)
    })
    socket.write(text)
  })
}
