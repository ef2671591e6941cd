import type { IncomingMessage } from 'node:http'

/** Bytes of an unwanted body that are read so that its connection can be reused. */
const MAX_DRAINED_BYTES = 64 * 1024
/** Pieces that are read; each takes about as long as a kilobyte. */
const MAX_DRAINED_PIECES = 256

/** Discards a body; closes the connection if it is too long to be worth reading. */
export function drainBody(res: IncomingMessage): void {
  let bytes = 0
  let pieces = 0
  res.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    pieces += 1
    if (bytes > MAX_DRAINED_BYTES || pieces > MAX_DRAINED_PIECES) res.destroy()
  })
}
