import { randomUUID } from 'node:crypto'

/** One execution, as the engine itself records it. */
export interface EngineRun {
  readonly runId: string
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly chat: string
  readonly cacheHit: boolean
  /** The words of the answer. */
  readonly words: readonly string[]
  /** Events generated so far, as sent. */
  readonly events: string[]
  finished: boolean
  /** Whether a caller cancelled it before its end. */
  cancelled: boolean
}

/** Returns the whole answer of a run as an event stream. */
export function streamText(run: EngineRun): string {
  const words = run.words.map((word, index) => wordEvent(run, index, word))
  return [...words, endEvent(run)].join('')
}

/** Returns the event that carries one word. */
export function wordEvent(
  run: EngineRun,
  index: number,
  content: string,
): string {
  const chunk = { id: run.runId, choices: [{ index: 0, delta: { content } }] }
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`
}

/** Returns the event that ends a run's stream. */
export function endEvent(run: EngineRun): string {
  return `id: ${run.words.length}\ndata: [DONE]\n\n`
}

/** Returns a finished run of another request, of the same length. */
export function foreignRun(own: EngineRun): EngineRun {
  const words = own.words.map((_, index) => `foreign#${index} `)
  const ids = { runId: randomUUID(), requestId: randomUUID() }
  const run = { ...own, ...ids, words, finished: true }
  const events = words.map((word, index) => wordEvent(run, index, word))
  return { ...run, events: [...events, endEvent(run)] }
}
