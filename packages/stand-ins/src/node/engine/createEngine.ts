import { randomUUID } from 'node:crypto'
import { EventEmitter } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { type ListenAddress, sendJson } from '@auburnbay/http-utils'
import { LRUCache } from 'lru-cache'
import {
  DEFAULT_CACHE_CHATS,
  DEFAULT_ENGINE_WORDS,
  DEFAULT_RESUMABLE_RUNS,
} from '../constants.js'
import { createStandIn, type StandInRequest } from '../server/createStandIn.js'
import { createCacheEvents } from './createCacheEvents.js'
import { createEngineFaults, type EngineFaults } from './engineFaults.js'
import { type EngineRun, createForeignRun } from './engineRun.js'
import type { EngineOptions, EngineStandIn } from './engineStandIn.js'
import { createEngineOrders, ORDER_PATH } from './createEngineOrders.js'
import { generateEvents } from './generateEvents.js'
import { writeStream } from './writeStream.js'

interface ChatBody {
  readonly stream?: boolean
  readonly messages?: { readonly content: string }[]
}

const CHAT_PATH = '/v1/chat/completions'
const RUN_STREAM_PATH = /^\/v1\/runs\/([\w-]+)\/stream$/
const RUN_PATH = /^\/v1\/runs\/([\w-]+)$/

/** Returns the words of an engine's response; they depend on the prompt alone. */
export function createResponseWords(body: ChatBody, words: number): string[] {
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
  const queuedFaults: Partial<EngineFaults>[] = []
  const faultsByRequest = new WeakMap<object, EngineFaults>()
  const runs: EngineRun[] = []
  const resumableRuns = new LRUCache<string, EngineRun>({
    max: DEFAULT_RESUMABLE_RUNS,
  })
  const progressByRun = new WeakMap<EngineRun, EventEmitter>()
  const cacheEvents = createCacheEvents(() => performance.now())
  const cache = new LRUCache<string, true>({
    max: resolved.cacheChats,
    dispose: (_, chat, reason) => {
      if (reason === 'evict') cacheEvents.record('evicted', chat)
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
      words: createResponseWords(call.body ?? {}, resolved.words),
      events: [],
      finished: false,
      cancelled: false,
    }
    if (chat !== '') {
      cache.set(chat, true)
      cacheEvents.record('stored', chat)
    }
    runs.push(run)
    resumableRuns.set(run.runId, run)
    const progress = new EventEmitter()
    progressByRun.set(run, progress)
    return run
  }

  function createResponseHeaders(run: EngineRun): Record<string, string> {
    return {
      'x-request-id': run.requestId,
      'x-run-id': run.runId,
      'x-engine-cache': run.cacheHit ? 'hit' : 'miss',
    }
  }

  async function sendStream(
    call: StandInRequest,
    ownRun: EngineRun,
    from: number,
    activeFaults: EngineFaults,
  ): Promise<void> {
    const { res } = call
    const run = activeFaults.crossAnswers ? createForeignRun(ownRun) : ownRun
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      ...createResponseHeaders(run),
    })
    res.flushHeaders()
    const progress = progressByRun.get(run) ?? new EventEmitter()
    await writeStream({ run, res, from, faults: activeFaults, progress })
  }

  async function sendCompletion(
    call: StandInRequest,
    ownRun: EngineRun,
    activeFaults: EngineFaults,
  ): Promise<void> {
    const { res } = call
    const run = activeFaults.crossAnswers ? createForeignRun(ownRun) : ownRun
    while (!run.finished && !res.destroyed) await sleep(1)
    const message = { role: 'assistant', content: run.words.join('') }
    const completion = { id: run.runId, choices: [{ index: 0, message }] }
    const text = JSON.stringify(completion)
    if (activeFaults.cutAfterBytes < 0) {
      sendJson(res, 200, completion, createResponseHeaders(run))
      return
    }
    res.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...createResponseHeaders(run),
    })
    const part = text.slice(0, activeFaults.cutAfterBytes % text.length)
    res.write(part, () => res.destroy())
    if (part === '') res.destroy()
  }

  async function handleChat(
    call: StandInRequest,
    activeFaults: EngineFaults,
  ): Promise<void> {
    const { res } = call
    if (activeFaults.refuse) {
      const headers = { 'x-refused': 'before-running' }
      sendJson(res, 503, { error: 'refused' }, headers)
      return
    }
    const run = startRun(call)
    // A silent engine hangs: its run stays open until the caller disconnects.
    if (activeFaults.silent) return
    const progress = progressByRun.get(run)
    void generateEvents(run, resolved.wordDelayMs, () =>
      progress?.emit('event'),
    )
    if (activeFaults.resetAfter) {
      res.destroy()
      return
    }
    if (activeFaults.delayMs > 0) await sleep(activeFaults.delayMs)
    if (res.destroyed) run.cancelled = true
    if ((call.body as ChatBody | undefined)?.stream)
      await sendStream(call, run, 0, activeFaults)
    else await sendCompletion(call, run, activeFaults)
  }

  async function resumeStream(
    call: StandInRequest,
    runId: string,
    activeFaults: EngineFaults,
  ): Promise<void> {
    const { res, url } = call
    const run = activeFaults.forgetRuns ? undefined : resumableRuns.get(runId)
    if (!run) sendJson(res, 404, { error: 'unknown run' })
    else if (activeFaults.silent) return
    else {
      if (activeFaults.delayMs > 0) await sleep(activeFaults.delayMs)
      const from = Number(url.searchParams.get('from') ?? 0)
      await sendStream(call, run, from, activeFaults)
    }
  }

  function cancelRun(call: StandInRequest, runId: string): void {
    const run = resumableRuns.get(runId)
    if (run && !run.finished) run.cancelled = true
    sendJson(call.res, run ? 200 : 404, {})
  }

  async function handle(call: StandInRequest): Promise<void> {
    const { method, url, res, req } = call
    const activeFaults = faultsByRequest.get(req) ?? faults
    const streamRunId = RUN_STREAM_PATH.exec(url.pathname)?.[1]
    const runId = RUN_PATH.exec(url.pathname)?.[1]
    if (method === 'PUT' && url.pathname === '/faults') {
      Object.assign(faults, call.body)
      sendJson(res, 200, faults)
    } else if (url.pathname === '/load') sendJson(res, 200, { inFlight })
    else if (url.pathname === ORDER_PATH) await orders.handle(call, inFlight)
    else if (url.pathname === '/cache-events' && resolved.publishesCacheEvents)
      sendJson(res, 200, {
        events: cacheEvents.readFrom(Number(url.searchParams.get('from'))),
      })
    else if (url.pathname === '/runs') sendJson(res, 200, runs)
    else if (streamRunId !== undefined)
      await resumeStream(call, streamRunId, activeFaults)
    else if (runId !== undefined && method === 'DELETE') cancelRun(call, runId)
    else if (url.pathname === CHAT_PATH) {
      inFlight += 1
      res.once('close', () => {
        inFlight -= 1
      })
      await handleChat(call, activeFaults)
    } else sendJson(res, 404, { error: 'unknown path' })
  }

  const standIn = await createStandIn(handle, address, (req) => {
    const path = (req.url ?? '').split('?')[0] ?? ''
    if (path !== CHAT_PATH && !RUN_STREAM_PATH.test(path)) return true
    const activeFaults = { ...faults, ...queuedFaults.shift() }
    faultsByRequest.set(req, activeFaults)
    if (activeFaults.resetBefore) req.socket.destroy()
    return !activeFaults.resetBefore
  })
  return {
    ...standIn,
    orders,
    faults,
    queuedFaults,
    cacheEvents,
    runs,
    options: resolved,
  }
}
