import type { IncomingMessage, ServerResponse } from 'node:http'
import { RelayOutcome } from './relayOutcome.js'

/** Forwards a target's response body through `transform`, with backpressure. */
export function relayBody(
  from: IncomingMessage,
  to: ServerResponse,
  signal: AbortSignal,
  transform: (chunk: Buffer) => Buffer | undefined,
): Promise<RelayOutcome> {
  return new Promise((resolve) => {
    function finish(outcome: RelayOutcome): void {
      signal.removeEventListener('abort', onAbort)
      to.off('drain', onDrain)
      if (outcome !== RelayOutcome.Complete) from.destroy()
      resolve(outcome)
    }
    function onAbort(): void {
      finish(RelayOutcome.Aborted)
    }
    function onDrain(): void {
      from.resume()
    }
    function onData(chunk: Buffer): void {
      const out = transform(chunk)
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
