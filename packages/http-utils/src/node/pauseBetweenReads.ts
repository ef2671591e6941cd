import type { Socket } from 'node:net'

/** The part of a socket's handle that Node's own HTTP client uses as well. */
interface ReadingHandle {
  readStart(): number
  readStop(): number
}

function handleOf(socket: Socket): ReadingHandle | null {
  return (socket as unknown as { _handle: ReadingHandle | null })._handle
}

/**
 * Has the end of a body without a length read apart from its data. libuv reports
 * a reset that comes along with data as the end of the stream, unless reading
 * was stopped in between; `socket.pause()` does not stop it.
 */
export function pauseBetweenReads(socket: Socket): void {
  const pauseReading = (): void => {
    handleOf(socket)?.readStop()
    setImmediate(() => {
      handleOf(socket)?.readStart()
    })
  }
  socket.on('data', pauseReading)
  pauseReading()
}
