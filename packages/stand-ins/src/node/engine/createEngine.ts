import { randomUUID } from 'node:crypto'
import { EventEmitter } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { LRUCache } from 'lru-cache'
import {
  DEFAULT_CACHE_CHATS,
  DEFAULT_ENGINE_WORDS,
  DEFAULT_KEPT_RUNS,
} from '../constants.js'
import { createStandIn, type StandInRequest } from '../server/createStandIn.js'
import { createCacheEvents } from './cacheEvents.js'
import { createEngineFaults, type EngineFaults } from './engineFaults.js'
import { type EngineRun, foreignRun } from './engineRun.js'
import type { EngineOptions, EngineStandIn } from './engineStandIn.js'
import { createEngineOrders, ORDER_PATH } from './orders.js'
import { generate } from './generate.js'
import { writeStream } from './writeStream.js'

interface ChatBody {
  readonly stream?: boolean
  readonly messages?: { readonly content: string }[]
}

const CHAT_PATH = '/v1/chat/completions'
const RUN_STREAM_PATH = /^\/v1\/runs\/([\w-]+)\/stream$/
const RUN_PATH = /^\/v1\/runs\/([\w-]+)$/

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
    publishesCacheEvents: options.publishesCacheEvents ?? false,
  }
  const orders = createEngineOrders(options.orders)
  const faults = createEngineFaults()
  const script: Partial<EngineFaults>[] = []
  const taken = new WeakMap<object, EngineFaults>()
  const runs: EngineRun[] = []
  const kept = new LRUCache<string, EngineRun>({ max: DEFAULT_KEPT_RUNS })
  const progressOf = new WeakMap<EngineRun, EventEmitter>()
  const cacheEvents = createCacheEvents(() => performance.now())
  const cache = new LRUCache<string, true>({
    max: resolved.cacheChats,
    dispose: (_, chat, reason) => {
      if (reason === 'evict') cacheEvents.add('evicted', chat)
    },
  })
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
      words: answerWords(call.body ?? {}, resolved.words),
      events: [],
      finished: false,
      cancelled: false,
    }
    if (chat !== '') {
      cache.set(chat, true)
      cacheEvents.add('stored', chat)
    }
    runs.push(run)
    kept.set(run.runId, run)
    const progress = new EventEmitter()
    progressOf.set(run, progress)
    return run
  }

  function answerHeaders(run: EngineRun): Record<string, string> {
    return {
      'x-request-id': run.requestId,
      'x-run-id': run.runId,
      'x-engine-cache': run.cacheHit ? 'hit' : 'miss',
    }
  }

  async function stream(
    call: StandInRequest,
    own: EngineRun,
    from: number,
    switches: EngineFaults,
  ): Promise<void> {
    const { res } = call
    const run = switches.crossAnswers ? foreignRun(own) : own
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      ...answerHeaders(run),
    })
    res.flushHeaders()
    const progress = progressOf.get(run) ?? new EventEmitter()
    await writeStream({ run, res, from, faults: switches, progress })
  }

  async function answerWhole(
    call: StandInRequest,
    own: EngineRun,
    switches: EngineFaults,
  ): Promise<void> {
    const { res } = call
    const run = switches.crossAnswers ? foreignRun(own) : own
    while (!run.finished && !res.destroyed) await sleep(1)
    const message = { role: 'assistant', content: run.words.join('') }
    const reply = { id: run.runId, choices: [{ index: 0, message }] }
    const text = JSON.stringify(reply)
    if (switches.cutAfterBytes < 0) {
      sendJson(res, 200, reply, answerHeaders(run))
      return
    }
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...answerHeaders(run),
    })
    const part = text.slice(0, switches.cutAfterBytes % text.length)
    res.write(part, () => res.destroy())
    if (part === '') res.destroy()
  }

  async function complete(
    call: StandInRequest,
    switches: EngineFaults,
  ): Promise<void> {
    const { res } = call
    if (switches.refuse) {
      const headers = { 'x-refused': 'before-running' }
      sendJson(res, 503, { error: 'refused' }, headers)
      return
    }
    const run = startRun(call)
    // A silent engine is stuck: its run goes on until the caller leaves.
    if (switches.silent) return
    const progress = progressOf.get(run)
    void generate(run, resolved.wordDelayMs, () => progress?.emit('event'))
    if (switches.resetAfter) {
      res.destroy()
      return
    }
    if (switches.delayMs > 0) await sleep(switches.delayMs)
    if (res.destroyed) run.cancelled = true
    if ((call.body as ChatBody | undefined)?.stream)
      await stream(call, run, 0, switches)
    else await answerWhole(call, run, switches)
  }

  async function resume(
    call: StandInRequest,
    runId: string,
    switches: EngineFaults,
  ): Promise<void> {
    const { res, url } = call
    const run = switches.forgetRuns ? undefined : kept.get(runId)
    if (!run) sendJson(res, 404, { error: 'unknown run' })
    else if (switches.silent) return
    else {
      if (switches.delayMs > 0) await sleep(switches.delayMs)
      const from = Number(url.searchParams.get('from') ?? 0)
      await stream(call, run, from, switches)
    }
  }

  function cancel(call: StandInRequest, runId: string): void {
    const run = kept.get(runId)
    if (run && !run.finished) run.cancelled = true
    sendJson(call.res, run ? 200 : 404, {})
  }

  async function handle(call: StandInRequest): Promise<void> {
    const { method, url, res, req } = call
    const switches = taken.get(req) ?? faults
    const runOfStream = RUN_STREAM_PATH.exec(url.pathname)?.[1]
    const runOfPath = RUN_PATH.exec(url.pathname)?.[1]
    if (method === 'PUT' && url.pathname === '/faults') {
      Object.assign(faults, call.body)
      sendJson(res, 200, faults)
    } else if (url.pathname === '/load') sendJson(res, 200, { inFlight })
    else if (url.pathname === ORDER_PATH) await orders.handle(call, inFlight)
    else if (url.pathname === '/cache-events' && resolved.publishesCacheEvents)
      sendJson(res, 200, {
        events: cacheEvents.from(Number(url.searchParams.get('from'))),
      })
    else if (url.pathname === '/runs') sendJson(res, 200, runs)
    else if (runOfStream !== undefined)
      await resume(call, runOfStream, switches)
    else if (runOfPath !== undefined && method === 'DELETE')
      cancel(call, runOfPath)
    else if (url.pathname === CHAT_PATH) {
      inFlight += 1
      res.once('close', () => {
        inFlight -= 1
      })
      await complete(call, switches)
    } else sendJson(res, 404, { error: 'unknown path' })
  }

  const standIn = await createStandIn(handle, address, (req) => {
    const path = (req.url ?? '').split('?')[0] ?? ''
    if (path !== CHAT_PATH && !RUN_STREAM_PATH.test(path)) return true
    const switches = { ...faults, ...script.shift() }
    taken.set(req, switches)
    if (switches.resetBefore) req.socket.destroy()
    return !switches.resetBefore
  })
  return {
    ...standIn,
    orders,
    faults,
    queuedFaults: script,
    cacheEvents,
    runs,
    options: resolved,
  }
}
