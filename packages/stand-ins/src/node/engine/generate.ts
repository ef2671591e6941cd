import { setTimeout as sleep } from 'node:timers/promises'
import { endEvent, type EngineRun, wordEvent } from './engineRun.js'

/** Generates a run's events; goes on when a connection is cut. */
export async function generate(
  run: EngineRun,
  wordDelayMs: number,
  onEvent: () => void,
): Promise<void> {
  for (const [index, word] of run.words.entries()) {
    if (wordDelayMs > 0) await sleep(wordDelayMs)
    if (run.cancelled) break
    run.events.push(wordEvent(run, index, word))
    onEvent()
  }
  if (!run.cancelled) {
    run.events.push(endEvent(run))
    run.finished = true
  }
  onEvent()
}
