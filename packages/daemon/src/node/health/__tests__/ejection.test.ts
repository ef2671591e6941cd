import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { IDEMPOTENT_HEADER, TARGET_HEADER } from '@auburnbay/core'
import { callChat } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'

describe('a target that fails', () => {
  let fleet: Fleet

  before(async () => {
    const health = { consecutiveFailures: 2, baseHoldMs: 200 }
    fleet = await startFleet({ engines: 2, settings: { health } })
  })

  after(() => fleet.stop())

  const call = (chat: string, headers: Record<string, string> = {}) =>
    callChat(fleet.callerUrl(), fleet.callerKey, chat, headers)

  /** Returns a chat whose preferred target is `target`. */
  async function findChat(target: string): Promise<string> {
    for (let index = 0; index < 100; index += 1) {
      const response = await call(`chat-${index}`)
      if (response.headers[TARGET_HEADER] === target) return `chat-${index}`
    }
    throw new Error(`no chat is routed to ${target}`)
  }

  it('is ejected, probed by an idempotent request, and used again', async () => {
    const [engine] = fleet.engines
    assert.ok(engine)
    const chat = await findChat('engine-1')
    engine.faults.resetAfter = true
    const runsBefore = engine.runs.length
    // A reset on a reused connection does not count against the target, so the
    // first request retries it on a new connection before it fails over.
    assert.equal((await call(chat)).headers[TARGET_HEADER], 'engine-2')
    assert.equal(engine.runs.length, runsBefore + 2)
    // Without a reused connection a request tries the target once.
    assert.equal((await call(chat)).headers[TARGET_HEADER], 'engine-2')
    const runsAfterEjection = runsBefore + 3
    assert.equal(engine.runs.length, runsAfterEjection)

    // A non-idempotent request never probes, even after the hold-down has ended.
    const nonIdempotent = { [IDEMPOTENT_HEADER]: 'false' }
    await new Promise((resolve) => setTimeout(resolve, 250))
    assert.equal(
      (await call(chat, nonIdempotent)).headers[TARGET_HEADER],
      'engine-2',
    )
    assert.equal(engine.runs.length, runsAfterEjection)

    // The probe fails, and its caller gets a response from the other engine.
    assert.equal((await call(chat)).headers[TARGET_HEADER], 'engine-2')
    assert.equal(engine.runs.length, runsAfterEjection + 1)
    assert.equal(
      (await call(chat, nonIdempotent)).headers[TARGET_HEADER],
      'engine-2',
    )

    engine.faults.resetAfter = false
    await eventually(
      async () => (await call(chat)).headers[TARGET_HEADER] === 'engine-1',
    )
    const response = await call(chat, nonIdempotent)
    assert.equal(response.headers[TARGET_HEADER], 'engine-1')
  })

  it('never runs a non-idempotent request twice', async () => {
    const [engine] = fleet.engines
    assert.ok(engine)
    const chat = await findChat('engine-1')
    engine.faults.resetAfter = true
    const runs = () => fleet.engines.reduce((sum, e) => sum + e.runs.length, 0)
    const ranBefore = runs()
    const response = await call(chat, { [IDEMPOTENT_HEADER]: 'false' })
    engine.faults.resetAfter = false
    assert.equal(response.status, 502)
    assert.match(response.text, /may-have-run/)
    assert.equal(runs(), ranBefore + 1)
  })
})
