import { messages } from './messages.js'

const PROGRESS_INTERVAL_MS = 2_000
const MS_PER_S = 1_000

/**
 * Awaits `work` and prints a message to stderr every `PROGRESS_INTERVAL_MS`.
 */
export async function withProgress<T>(
  subject: string,
  work: Promise<T>,
): Promise<T> {
  let waitedMs = 0
  const timer = setInterval(() => {
    waitedMs += PROGRESS_INTERVAL_MS
    messages.info(`Still waiting for ${subject} (${waitedMs / MS_PER_S} s).`)
  }, PROGRESS_INTERVAL_MS)
  try {
    return await work
  } finally {
    clearInterval(timer)
  }
}
