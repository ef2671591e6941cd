import type { IncomingMessage } from 'node:http'

/**
 * Yields a body's chunks; throws when none arrives for `idleMs` milliseconds.
 */
export async function* readWithIdleTimeout(
  body: IncomingMessage,
  idleMs: number,
  onTimeout: () => void,
): AsyncGenerator<Buffer, void, void> {
  const chunks = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  try {
    for (;;) {
      // The timer runs only while waiting for the target, not for a slow
      // caller.
      const timer = setTimeout(() => {
        onTimeout()
        body.destroy(new Error(`the target sent no data for ${idleMs} ms`))
      }, idleMs)
      const next = await chunks.next().finally(() => {
        clearTimeout(timer)
      })
      if (next.done) return
      yield next.value
    }
  } finally {
    if (!body.complete) body.destroy()
  }
}
