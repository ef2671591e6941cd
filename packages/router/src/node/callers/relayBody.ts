import type { IncomingMessage, ServerResponse } from 'node:http'
import { RelayOutcome } from './relayOutcome.js'

/** Passes on what `transform` makes of each piece of a target's body. */
export function relayBody(
  from: IncomingMessage,
  to: ServerResponse,
  signal: AbortSignal,
  transform: (piece: Buffer) => Buffer | undefined,
): Promise<RelayOutcome> {
  return new Promise((resolve) => {
    function finish(end: RelayOutcome): void {
      signal.removeEventListener('abort', onAbort)
      to.off('drain', onDrain)
      if (end !== RelayOutcome.Complete) from.destroy()
      resolve(end)
    }
    function onAbort(): void {
      finish(RelayOutcome.Aborted)
    }
    function onDrain(): void {
      from.resume()
    }
    function onData(piece: Buffer): void {
      const out = transform(piece)
      if (out && !to.write(out)) from.pause()
    }
    if (signal.aborted) {
      finish(RelayOutcome.Aborted)
      return
    }
    signal.addEventListener('abort', onAbort)
    to.on('drain', onDrain)
    from.on('data', onData)
    from.on('end', () => {
      finish(from.complete ? RelayOutcome.Complete : RelayOutcome.Broken)
    })
    from.on('error', () => {
      finish(RelayOutcome.Broken)
    })
    from.on('close', () => {
      if (!from.complete) finish(RelayOutcome.Broken)
    })
  })
}
