import type { Duplex } from 'node:stream'

function destroyOnUnsolicitedData(this: Duplex): void {
  this.destroy()
}

/**
 * Closes a connection that receives bytes while no request is in flight on it: they
 * could be taken for the response to the next one. Call it for each request of an
 * agent that nothing else uses.
 */
export function guardIdleConnection(socket: Duplex): void {
  socket.off('data', destroyOnUnsolicitedData)
  socket.once('free', () => {
    socket.on('data', destroyOnUnsolicitedData)
  })
}
