import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { testRoute } from '../../configuration/__tests__/testConfiguration.js'
import { RequestKind } from '../../configuration/requestKind.js'
import { HEALTH_OPTIONS } from '../../health/constants.js'
import { createStallDetector } from '../../health/createStallDetector.js'
import { createTargetHealth } from '../../health/createTargetHealth.js'
import { createTargetList } from '../../targets/createTargetList.js'
import { createCacheLocations } from '../createCacheLocations.js'
import { createFleetLoad } from '../createFleetLoad.js'
import { createTargetSelector } from '../createTargetSelector.js'

const SERVICE = 'engines'
const SHARED_TOKENS = 10_000
const OWN_TOKENS = 100
const TOKENS_PER_MS = 100
const TARGET_LATENCY_MS = 800

/** One target that prefills at a fixed rate, one request after the other, on a fake clock. */
function createEngine() {
  let nowMs = 0
  let requests = 0
  let busyUntilMs = 0
  let tokensRead = 0
  const cachedAtMs = new Map<string, number>()
  const now = (): number => nowMs
  const targetList = createTargetList(0, () => 2_000)
  const address = { host: '10.0.0.1', port: 1 }
  targetList.set({
    id: 't0',
    service: SERVICE,
    ...address,
    slots: 64,
    draining: false,
  })
  const selector = createTargetSelector({
    targetList,
    load: createFleetLoad(() => 1_000),
    cacheLocations: createCacheLocations(1_000, now),
    health: createTargetHealth(HEALTH_OPTIONS, () => undefined),
    stallDetector: createStallDetector(1_000),
    sharesCache: () => true,
    onNewPrompt: () => undefined,
    now,
  })

  /** Sends a request; returns the milliseconds until its first token. */
  function call(prompt: string): number {
    requests += 1
    const request = {
      request: {
        attemptId: `a${requests}`,
        host: 'a.example',
        promptParts: [
          { id: prompt, tokens: SHARED_TOKENS },
          { id: `own-${requests}`, tokens: OWN_TOKENS },
        ],
      },
      method: 'POST',
      path: '/',
      rawHeaders: [],
      body: Buffer.alloc(0),
      route: testRoute({
        kind: RequestKind.Stream,
        cachesPrompts: true,
        targetLatencyMs: TARGET_LATENCY_MS,
      }),
      service: SERVICE,
      deadlineAtMs: nowMs + 10_000,
      signal: new AbortController().signal,
    }
    const placement = selector.select(request, new Set())
    assert.ok(placement)
    selector.recordSent(request, placement.target)
    const arrivedAtMs = nowMs + placement.waitMs
    const isCached = (cachedAtMs.get(prompt) ?? Infinity) <= arrivedAtMs
    const tokens = OWN_TOKENS + (isCached ? 0 : SHARED_TOKENS)
    const startMs = Math.max(arrivedAtMs, busyUntilMs)
    busyUntilMs = startMs + tokens / TOKENS_PER_MS
    tokensRead += tokens
    if (!cachedAtMs.has(prompt)) cachedAtMs.set(prompt, busyUntilMs)
    selector.recordResponse(request, placement, busyUntilMs - arrivedAtMs)
    return busyUntilMs - nowMs
  }

  return {
    call,
    advance(ms: number) {
      nowMs += ms
    },
    get tokensRead() {
      return tokensRead
    },
  }
}

describe('many requests for one new prompt', () => {
  it('have it prefilled once and get their first token soon after', () => {
    const engine = createEngine()
    engine.call('earlier')
    engine.advance(1_000)
    const before = engine.tokensRead
    const firstTokensMs: number[] = []
    for (let i = 0; i < 10; i += 1) {
      firstTokensMs.push(engine.call('hot'))
      engine.advance(10)
    }
    const read = engine.tokensRead - before
    assert.ok(read < 2 * SHARED_TOKENS, `${read} tokens read`)
    const worstMs = Math.max(...firstTokensMs)
    assert.ok(worstMs < TARGET_LATENCY_MS / 4, `${worstMs} ms`)
  })

  it('are not delayed once it is cached, nor before a prefill was observed', () => {
    const engine = createEngine()
    assert.equal(engine.call('first'), 101)
    engine.advance(2_000)
    assert.equal(engine.call('first'), 1)
  })
})
