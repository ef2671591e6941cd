import { setTimeout as sleep } from 'node:timers/promises'

/** A running loop. */
export interface Loop {
  /** Ends the loop and resolves after its last round. */
  stop(): Promise<void>
}

/** Runs `round` again and again, `pauseMs` apart, until it is stopped. */
export function createLoop(
  round: (signal: AbortSignal) => Promise<void>,
  pauseMs: number,
  onError: (error: unknown) => void,
): Loop {
  const stopping = new AbortController()
  const { signal } = stopping

  const stopped = (): boolean => signal.aborted

  async function run(): Promise<void> {
    // The caller may still create what the first round needs.
    await Promise.resolve()
    while (!stopped()) {
      try {
        await round(signal)
      } catch (error) {
        if (!stopped()) onError(error)
      }
      await sleep(pauseMs, undefined, { signal }).catch(() => undefined)
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
