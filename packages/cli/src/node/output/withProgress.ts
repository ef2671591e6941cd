import { messages } from './messages.js'

const PROGRESS_EVERY_MS = 2_000
const MS_PER_S = 1_000

/** Says on stderr that a wait goes on, every two seconds. */
export async function withProgress<T>(
  what: string,
  work: Promise<T>,
): Promise<T> {
  let waitedMs = 0
  const timer = setInterval(() => {
    waitedMs += PROGRESS_EVERY_MS
    messages.info(`Still waiting for ${what} (${waitedMs / MS_PER_S} s).`)
  }, PROGRESS_EVERY_MS)
  try {
    return await work
  } finally {
    clearInterval(timer)
  }
}
