import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { LRUCache } from 'lru-cache'
import { DEFAULT_CACHE_CHATS, DEFAULT_ENGINE_WORDS } from '../constants.js'
import { createStandIn, type StandInRequest } from '../server/createStandIn.js'
import type { StandIn } from '../server/standIn.js'
import { createEngineFaults, type EngineFaults } from './engineFaults.js'
import type { EngineRun } from './engineRun.js'

/** How an engine's stand-in behaves. */
export interface EngineOptions {
  /** Chats the prompt cache holds. @default 64 */
  readonly cacheChats?: number
  /** Milliseconds between two words. @default 0 */
  readonly wordDelayMs?: number
  /** Words of an answer. @default 12 */
  readonly words?: number
}

/** A model engine's stand-in. */
export interface EngineStandIn extends StandIn {
  readonly faults: EngineFaults
  /** What truly ran, in order. */
  readonly runs: readonly EngineRun[]
  readonly options: Required<EngineOptions>
}

interface ChatBody {
  readonly stream?: boolean
  readonly messages?: { readonly content: string }[]
}

/** The words an engine answers with; the prompt alone decides them. */
export function answerWords(body: ChatBody, words: number): string[] {
  const prompt = body.messages?.at(-1)?.content ?? ''
  return Array.from(
    { length: words },
    (_, index) => `${prompt.slice(0, 16)}#${index} `,
  )
}

/** Starts a stand-in for a model engine. */
export async function createEngine(
  options: EngineOptions = {},
  address?: ListenAddress,
): Promise<EngineStandIn> {
  const resolved = {
    cacheChats: options.cacheChats ?? DEFAULT_CACHE_CHATS,
    wordDelayMs: options.wordDelayMs ?? 0,
    words: options.words ?? DEFAULT_ENGINE_WORDS,
  }
  const faults = createEngineFaults()
  const runs: EngineRun[] = []
  const cache = new LRUCache<string, true>({ max: resolved.cacheChats })
  let inFlight = 0

  function startRun(call: StandInRequest): EngineRun {
    const { headers } = call.req
    const chat = String(headers['x-auburnbay-chat'] ?? '')
    const run: EngineRun = {
      runId: randomUUID(),
      requestId: String(headers['x-request-id'] ?? ''),
      idempotencyKey: headers['idempotency-key'] as string | undefined,
      chat,
      cacheHit: cache.get(chat) ?? false,
      finished: false,
    }
    if (chat !== '') cache.set(chat, true)
    runs.push(run)
    return run
  }

  function answerHeaders(run: EngineRun): Record<string, string> {
    return {
      'x-request-id': faults.crossAnswers ? randomUUID() : run.requestId,
      'x-run-id': run.runId,
      'x-engine-cache': run.cacheHit ? 'hit' : 'miss',
    }
  }

  async function stream(
    call: StandInRequest,
    run: EngineRun,
    words: string[],
  ): Promise<void> {
    const { res } = call
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      ...answerHeaders(run),
    })
    for (const [index, content] of words.entries()) {
      if (index === faults.cutAfterEvents) {
        res.destroy()
        return
      }
      if (resolved.wordDelayMs > 0) await sleep(resolved.wordDelayMs)
      if (res.destroyed) return
      const chunk = {
        id: run.runId,
        choices: [{ index: 0, delta: { content } }],
      }
      res.write(`id: ${index}\ndata: ${JSON.stringify(chunk)}\n\n`)
    }
    run.finished = true
    res.end(`id: ${words.length}\ndata: [DONE]\n\n`)
  }

  async function complete(call: StandInRequest): Promise<void> {
    const { res } = call
    const body = (call.body ?? {}) as ChatBody
    if (faults.resetBefore) {
      res.destroy()
      return
    }
    if (faults.refuse) {
      sendJson(
        res,
        503,
        { error: 'refused' },
        { 'x-refused': 'before-running' },
      )
      return
    }
    const run = startRun(call)
    if (faults.silent) return
    if (faults.resetAfter) {
      run.finished = true
      res.destroy()
      return
    }
    if (faults.delayMs > 0) await sleep(faults.delayMs)
    const words = answerWords(body, resolved.words)
    if (body.stream) {
      await stream(call, run, words)
      return
    }
    run.finished = true
    const message = { role: 'assistant', content: words.join('') }
    const reply = { id: run.runId, choices: [{ index: 0, message }] }
    sendJson(res, 200, reply, answerHeaders(run))
  }

  async function handle(call: StandInRequest): Promise<void> {
    const { method, url, res } = call
    if (method === 'PUT' && url.pathname === '/faults') {
      Object.assign(faults, call.body)
      sendJson(res, 200, faults)
    } else if (url.pathname === '/load') sendJson(res, 200, { inFlight })
    else if (url.pathname === '/runs') sendJson(res, 200, runs)
    else if (url.pathname === '/v1/chat/completions') {
      inFlight += 1
      res.once('close', () => {
        inFlight -= 1
      })
      await complete(call)
    } else sendJson(res, 404, { error: 'unknown path' })
  }

  const standIn = await createStandIn(handle, address)
  return { ...standIn, faults, runs, options: resolved }
}
