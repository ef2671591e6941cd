import { DIGEST_INTERVAL_MS, EVENT_LOOP_PAUSE_MS } from './constants.js'
import { createPauseDetector } from './createPauseDetector.js'

/**
 * Calls `onPause` after each pause of the process or step of the time of day;
 * returns a function that ends the watch.
 */
export function watchPauses(
  now: () => number,
  onPause: () => void,
): () => void {
  const detector = createPauseDetector({
    maxGapMs: EVENT_LOOP_PAUSE_MS,
    now,
    epochNow: Date.now,
  })
  const timer = setInterval(() => {
    if (detector.check()) onPause()
  }, DIGEST_INTERVAL_MS)
  return () => {
    clearInterval(timer)
  }
}
