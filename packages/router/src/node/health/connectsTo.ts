import { connect } from 'node:net'
import { CONNECT_TIMEOUT_MS } from '../constants.js'
import type { Target } from '../targets/target.js'

/** Resolves to whether a target accepts a connection in time; false if its address is invalid. */
export function connectsTo({ host, port }: Target): Promise<boolean> {
  return openConnection(host, port).catch(() => false)
}

/** Rejects if the address is invalid. */
function openConnection(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host, port })
    function finish(isConnected: boolean): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(isConnected)
    }
    const timer = setTimeout(() => {
      finish(false)
    }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => {
      finish(true)
    })
    socket.once('error', () => {
      finish(false)
    })
  })
}
