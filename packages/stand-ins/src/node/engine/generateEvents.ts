import { setTimeout as sleep } from 'node:timers/promises'
import { createEndEvent, type EngineRun, createWordEvent } from './engineRun.js'

/** Generates a run's events, independently of the connections that stream them. */
export async function generateEvents(
  run: EngineRun,
  wordDelayMs: number,
  onEvent: () => void,
): Promise<void> {
  for (const [index, word] of run.words.entries()) {
    if (wordDelayMs > 0) await sleep(wordDelayMs)
    if (run.cancelled) break
    run.events.push(createWordEvent(run, index, word))
    onEvent()
  }
  if (!run.cancelled) {
    run.events.push(createEndEvent(run))
    run.finished = true
  }
  onEvent()
}
