import type { IncomingMessage, ServerResponse } from 'node:http'
import { RelayOutcome } from './relayOutcome.js'

/** Forwards a target's response body through `transform`, with backpressure; rejects if that throws. */
export function relayBody(
  from: IncomingMessage,
  to: ServerResponse,
  signal: AbortSignal,
  transform: (chunk: Buffer) => Buffer | undefined,
): Promise<RelayOutcome> {
  return new Promise((resolve, reject) => {
    function stop(): void {
      signal.removeEventListener('abort', onAbort)
      to.off('drain', onDrain)
      from.off('data', onData)
    }
    function finish(outcome: RelayOutcome): void {
      stop()
      if (outcome !== RelayOutcome.Complete) from.destroy()
      resolve(outcome)
    }
    function fail(error: unknown): void {
      stop()
      from.destroy()
      reject(error instanceof Error ? error : new Error(String(error)))
    }
    function onAbort(): void {
      finish(RelayOutcome.Aborted)
    }
    function onDrain(): void {
      from.resume()
    }
    function onData(chunk: Buffer): void {
      // An exception in a listener would end the process.
      try {
        const out = transform(chunk)
        if (out && !to.write(out)) from.pause()
      } catch (error) {
        fail(error)
      }
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
