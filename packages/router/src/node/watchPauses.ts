import { DIGEST_INTERVAL_MS, EVENT_LOOP_PAUSE_MS } from './constants.js'
import { createPauseDetector } from './createPauseDetector.js'

/** Delay of a timer, in milliseconds, above which the process is behind; callers notice less. */
const MAX_DELAY_MS = 150

/** Options for {@link watchPauses}. */
export interface PauseWatchOptions {
  /** Called after each pause of the process or step of the time of day. */
  readonly onPause: () => void
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
  /**
   * Wall clock, in milliseconds.
   * @default Date.now
   */
  readonly epochNow?: () => number
}

/** Watch for pauses of the process. */
export interface PauseWatch {
  /**
   * Whether the process has paused since a time on the monotonic clock. Also finds
   * a pause that has just ended: after one, responses are handled before timers.
   */
  readonly hasPausedSince: (sinceMs: number) => boolean
  /** Whether the last turns of the event loop took so long that what is read now may be out of date. */
  readonly isBehind: () => boolean
  stop(): void
}

/** Starts to watch for pauses. */
export function watchPauses(options: PauseWatchOptions): PauseWatch {
  const { onPause, now, epochNow = Date.now } = options
  const detector = createPauseDetector({
    maxGapMs: EVENT_LOOP_PAUSE_MS,
    now,
    epochNow,
  })
  let pausedAtMs = -Infinity

  function check(): void {
    if (!detector.check()) return
    pausedAtMs = now()
    onPause()
  }

  let lastTickMs = now()
  let isBehind = false
  const timer = setInterval(() => {
    const tickMs = now()
    isBehind = tickMs - lastTickMs > DIGEST_INTERVAL_MS + MAX_DELAY_MS
    lastTickMs = tickMs
    check()
  }, DIGEST_INTERVAL_MS)
  return {
    hasPausedSince(sinceMs) {
      check()
      return pausedAtMs > sinceMs
    },
    isBehind: () => isBehind,
    stop() {
      clearInterval(timer)
    },
  }
}
