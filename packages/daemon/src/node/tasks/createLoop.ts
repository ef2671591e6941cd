import { setTimeout as sleep } from 'node:timers/promises'

/** A loop that runs until it is stopped. */
export interface Loop {
  /** Stops the loop and resolves after its last iteration. */
  stop(): Promise<void>
}

/**
 * Starts a loop that runs `runOnce` repeatedly, with `delayMs` milliseconds
 * between iterations.
 */
export function createLoop(
  runOnce: (signal: AbortSignal) => Promise<void>,
  delayMs: number,
  onError: (error: unknown) => void,
): Loop {
  const stopping = new AbortController()
  const { signal } = stopping

  const isStopped = (): boolean => signal.aborted

  async function run(): Promise<void> {
    // Deferred, as the caller may still have to create what the first iteration
    // uses.
    await Promise.resolve()
    while (!isStopped()) {
      try {
        await runOnce(signal)
      } catch (error) {
        if (!isStopped()) onError(error)
      }
      await sleep(delayMs, undefined, { signal }).catch(() => undefined)
    }
  }

  const running = run()
  return {
    stop: () => {
      stopping.abort()
      return running
    },
  }
}
