import type { IncomingMessage } from 'node:http'

/** Reads a message's whole body; undefined where it broke off. */
export function readWhole(
  message: IncomingMessage,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const pieces: Buffer[] = []
    message.on('data', (piece: Buffer) => {
      pieces.push(piece)
    })
    message.on('end', () => {
      resolve(message.complete ? Buffer.concat(pieces) : undefined)
    })
    message.on('error', () => {
      resolve(undefined)
    })
    message.on('close', () => {
      resolve(undefined)
    })
  })
}
