import type { Socket } from 'node:net'

/** Methods of Node's internal socket handle, which its HTTP client uses as well. */
interface ReadingHandle {
  readStart(): number
  readStop(): number
}

function handleOf(socket: Socket): ReadingHandle | null {
  return (socket as unknown as { _handle: ReadingHandle | null })._handle
}

/**
 * Pauses reading after each chunk, so that the end of a body without a length is
 * read separately from its data. libuv reports a reset that arrives together with
 * data as the end of the stream, unless reading was stopped in between;
 * `socket.pause()` does not stop it.
 */
export function pauseBetweenReads(socket: Socket): void {
  const pause = (): void => {
    handleOf(socket)?.readStop()
    setImmediate(() => {
      handleOf(socket)?.readStart()
    })
  }
  socket.on('data', pause)
  pause()
}
