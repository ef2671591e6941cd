import type { Socket } from 'node:net'
import { HoldReason, readControlOf } from './readControl.js'

/**
 * Pauses reading after each chunk, so that the end of a body without a length is
 * read separately from its data. libuv reports a reset that arrives together with
 * data as the end of the stream, unless reading was stopped in between.
 */
export function pauseBetweenReads(socket: Socket): void {
  const control = readControlOf(socket)
  const pause = (): void => {
    control.hold(HoldReason.BetweenReads)
    setImmediate(() => {
      control.release(HoldReason.BetweenReads)
    })
  }
  socket.on('data', pause)
  pause()
}
