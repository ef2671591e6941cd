import { randomUUID } from 'node:crypto'

/** Record of one execution in an engine. */
export interface EngineRun {
  readonly runId: string
  readonly requestId: string
  readonly idempotencyKey?: string
  readonly chat: string
  readonly cacheHit: boolean
  /** Words of the response. */
  readonly words: readonly string[]
  /** Events generated so far, as sent. */
  readonly events: string[]
  finished: boolean
  /** Whether a caller cancelled the run before its end. */
  cancelled: boolean
}

/** Returns the complete event stream of a run. */
export function streamText(run: EngineRun): string {
  const words = run.words.map((word, index) =>
    createWordEvent(run, index, word),
  )
  return [...words, createEndEvent(run)].join('')
}

/** Creates the event that carries one word. */
export function createWordEvent(
  run: EngineRun,
  index: number,
  content: string,
): string {
  const chunk = { id: run.runId, choices: [{ index: 0, delta: { content } }] }
  return `id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`
}

/** Creates the event that ends a run's stream. */
export function createEndEvent(run: EngineRun): string {
  return `id: ${run.words.length}\ndata: [DONE]\n\n`
}

/** Creates a finished run of another request with as many words. */
export function createForeignRun(own: EngineRun): EngineRun {
  const words = own.words.map((_, index) => `foreign#${index} `)
  const ids = { runId: randomUUID(), requestId: randomUUID() }
  const run = { ...own, ...ids, words, finished: true }
  const events = words.map((word, index) => createWordEvent(run, index, word))
  return { ...run, events: [...events, createEndEvent(run)] }
}
