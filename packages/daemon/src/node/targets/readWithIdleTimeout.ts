import type { IncomingMessage } from 'node:http'

/** Yields a body's chunks; throws when none comes for `idleMs` milliseconds. */
export async function* readWithIdleTimeout(
  body: IncomingMessage,
  idleMs: number,
  onSilent: () => void,
): AsyncGenerator<Buffer, void, void> {
  const chunks = body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
  try {
    for (;;) {
      // Only the wait for the target counts, not that for a slow caller.
      const timer = setTimeout(() => {
        onSilent()
        body.destroy(new Error('the target went silent'))
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
