import type { IncomingMessage } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import type { BufferLease } from './createBufferBudget.js'
import { createBodyReader } from './createBodyReader.js'
import { createByteCollector } from './createByteCollector.js'

/** Why a body could not be read. */
export enum BodyError {
  TooLarge = 'too-large',
  /** The memory for bodies is in use. */
  NoRoom = 'no-room',
  Aborted = 'aborted',
}

/** Options for {@link readBody}. */
export interface ReadBodyOptions {
  /** Memory that the body counts against; ended if the body is not read. */
  readonly lease?: BufferLease
  /** Called whenever bytes have arrived. */
  readonly onProgress?: () => void
}

/**
 * Reads a complete body of at most `maxBytes`. After an error the rest is discarded
 * as it arrives, until the message is destroyed.
 */
export function readBody(
  message: IncomingMessage,
  maxBytes: number,
  { lease, onProgress }: ReadBodyOptions = {},
): Promise<Result<Buffer, BodyError>> {
  const collector = createByteCollector()
  let failed = false
  return new Promise((resolve) => {
    function fail(error: BodyError): void {
      failed = true
      collector.take()
      lease?.end()
      resolve(err(error))
    }
    createBodyReader(message, {
      onData(bytes) {
        if (failed) return
        onProgress?.()
        if (collector.length + bytes.length > maxBytes) {
          fail(BodyError.TooLarge)
          return
        }
        if (lease && !lease.tryGrow(bytes.length)) {
          fail(BodyError.NoRoom)
          return
        }
        collector.add(bytes)
      },
      onEnd(isComplete) {
        resolve(isComplete ? ok(collector.take()) : err(BodyError.Aborted))
      },
      onException() {
        resolve(err(BodyError.Aborted))
      },
    })
  })
}
