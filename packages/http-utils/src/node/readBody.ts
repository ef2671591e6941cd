import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'

/** Why a body could not be read. */
export enum BodyError {
  TooLarge = 'too-large',
  Aborted = 'aborted',
}

/** Reads a complete body of at most `maxBytes`. */
export async function readBody(
  stream: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, BodyError>> {
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of stream as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maxBytes) return err(BodyError.TooLarge)
      chunks.push(chunk)
    }
  } catch {
    return err(BodyError.Aborted)
  }
  return ok(Buffer.concat(chunks))
}
