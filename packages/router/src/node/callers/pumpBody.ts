import type { IncomingMessage, ServerResponse } from 'node:http'
import { RelayEnd } from './relayEnd.js'

/** Passes on what `transform` makes of each piece of a target's body. */
export function pumpBody(
  from: IncomingMessage,
  to: ServerResponse,
  signal: AbortSignal,
  transform: (piece: Buffer) => Buffer | undefined,
): Promise<RelayEnd> {
  return new Promise((resolve) => {
    function finish(end: RelayEnd): void {
      signal.removeEventListener('abort', onAbort)
      to.off('drain', onDrain)
      if (end !== RelayEnd.Complete) from.destroy()
      resolve(end)
    }
    function onAbort(): void {
      finish(RelayEnd.Aborted)
    }
    function onDrain(): void {
      from.resume()
    }
    function onData(piece: Buffer): void {
      const out = transform(piece)
      if (out && !to.write(out)) from.pause()
    }
    if (signal.aborted) {
      finish(RelayEnd.Aborted)
      return
    }
    signal.addEventListener('abort', onAbort)
    to.on('drain', onDrain)
    from.on('data', onData)
    from.on('end', () => {
      finish(from.complete ? RelayEnd.Complete : RelayEnd.Broken)
    })
    from.on('error', () => {
      finish(RelayEnd.Broken)
    })
    from.on('close', () => {
      if (!from.complete) finish(RelayEnd.Broken)
    })
  })
}
