import type { IncomingMessage, ServerResponse } from 'node:http'
import { createBodyReader } from '@auburnbay/http-utils/createBodyReader'
import { RelayOutcome } from './relayOutcome.js'

/** Forwards a target's response body through `transform`, with backpressure; rejects if that throws. */
export function relayBody(
  from: IncomingMessage,
  to: ServerResponse,
  signal: AbortSignal,
  transform: (bytes: Buffer) => Buffer | undefined,
): Promise<RelayOutcome> {
  return new Promise((resolve, reject) => {
    const reader = createBodyReader(from, {
      onData(bytes) {
        const out = transform(bytes)
        if (out && !to.write(out)) reader.pause()
      },
      onEnd(isComplete) {
        finish(isComplete ? RelayOutcome.Complete : RelayOutcome.Broken)
      },
      onException(error) {
        stop()
        from.destroy()
        reject(error)
      },
    })
    function stop(): void {
      signal.removeEventListener('abort', onAbort)
      to.off('drain', onDrain)
      reader.stop()
    }
    function finish(outcome: RelayOutcome): void {
      stop()
      if (outcome !== RelayOutcome.Complete) from.destroy()
      resolve(outcome)
    }
    function onAbort(): void {
      finish(RelayOutcome.Aborted)
    }
    function onDrain(): void {
      reader.resume()
    }
    if (signal.aborted) {
      finish(RelayOutcome.Aborted)
      return
    }
    signal.addEventListener('abort', onAbort)
    to.on('drain', onDrain)
  })
}
