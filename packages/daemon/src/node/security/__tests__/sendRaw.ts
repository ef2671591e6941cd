import { connect } from 'node:net'
import type { ListenAddress } from '@auburnbay/http-utils'

const GIVE_UP_MS = 10_000

/** Sends bytes as they are and returns all that comes until the other side closes. */
export function sendRaw(address: ListenAddress, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(address)
    let received = ''
    const timer = setTimeout(() => {
      socket.destroy()
      reject(new Error(`the connection stayed open after ${received}`))
    }, GIVE_UP_MS)
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
