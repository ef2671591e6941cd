import assert from 'node:assert/strict'
import { request } from 'node:http'
import {
  after,
  afterEach,
  before,
  describe,
  it,
  type TestContext,
} from 'node:test'
import { TARGET_HEADER, VERDICT_HEADER } from '@auburnbay/core'
import { type EngineRun, streamText } from '@auburnbay/stand-ins'
import {
  callApi,
  type CallerResponse,
  callChat,
} from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'

/** Timeouts that do not expire on a busy machine. */
const LONG_TIMEOUTS = {
  connectTimeoutMs: 60_000,
  firstByteTimeoutMs: 60_000,
  idleTimeoutMs: 60_000,
}

describe('the response of an engine', () => {
  let fleet: Fleet

  before(async () => {
    fleet = await startFleet({
      engines: 1,
      settings: { targets: LONG_TIMEOUTS },
    })
  })

  /** Starts a fleet with short timeouts for a test about stalled connections. */
  async function startShortTimeoutFleet(
    t: TestContext,
    timeouts: Partial<typeof LONG_TIMEOUTS>,
  ): Promise<void> {
    const sharedFleet = fleet
    const targets = { ...LONG_TIMEOUTS, ...timeouts }
    const ownFleet = await startFleet({ engines: 1, settings: { targets } })
    fleet = ownFleet
    t.after(() => {
      fleet = sharedFleet
      return ownFleet.stop()
    })
  }

  after(() => fleet.stop())

  afterEach(() => {
    engine().queuedFaults.length = 0
  })

  function engine() {
    const [only] = fleet.engines
    assert.ok(only)
    return only
  }

  function lastRun(): EngineRun {
    const run = engine().runs.at(-1)
    assert.ok(run)
    return run
  }

  function call(headers: Record<string, string> = {}): Promise<CallerResponse> {
    return callChat(fleet.callerUrl(), fleet.callerKey, 'chat-1', headers)
  }

  function assertComplete(response: CallerResponse): void {
    assert.equal(response.status, 200)
    assert.ok(response.complete)
    assert.equal(response.text, streamText(lastRun()))
  }

  it('is resumed where the stream is cut at any byte', async () => {
    await call()
    const { length } = streamText(lastRun())
    for (let bytes = 0; bytes < length; bytes += 23) {
      engine().queuedFaults.push({ cutAfterBytes: bytes })
      assertComplete(await call())
    }
  })

  it('is resumed where it is cut twice and then stalls', async (t) => {
    await startShortTimeoutFleet(t, { idleTimeoutMs: 100 })
    const ran = engine().runs.length
    engine().queuedFaults.push(
      { cutAfterEvents: 3 },
      { cutAfterBytes: 150 },
      { silentAfterEvents: 2 },
    )
    assertComplete(await call())
    assert.equal(engine().runs.length, ran + 1)
  })

  it('is resumed where it ends without an end marker', async () => {
    engine().queuedFaults.push({ withholdEnd: true })
    assertComplete(await call())
  })

  it('is truncated detectably where the engine has lost the run', async () => {
    engine().queuedFaults.push({ cutAfterEvents: 2 }, { forgetRuns: true })
    engine().queuedFaults.push({ forgetRuns: true }, { forgetRuns: true })
    engine().queuedFaults.push({ forgetRuns: true })
    const response = await call()
    assert.equal(response.complete, false)
    assert.ok(streamText(lastRun()).startsWith(response.text))
  })

  it('is truncated detectably rather than continued with the stream of another run', async () => {
    engine().queuedFaults.push({ cutAfterEvents: 2 })
    for (let attempts = 0; attempts < 4; attempts += 1)
      engine().queuedFaults.push({ crossAnswers: true })
    const response = await call()
    assert.equal(response.complete, false)
    assert.ok(streamText(lastRun()).startsWith(response.text))
  })

  it('is not forwarded where it belongs to another request', async () => {
    engine().queuedFaults.push({ crossAnswers: true })
    const response = await call({ 'x-auburnbay-idempotent': 'false' })
    assert.equal(response.status, 502)
    assert.equal(response.headers[VERDICT_HEADER], 'may-have-run')
    assert.doesNotMatch(response.text, /#0/)
  })

  it('arrives over a new connection where the pooled ones have stalled', async (t) => {
    await startShortTimeoutFleet(t, { firstByteTimeoutMs: 200 })
    assertComplete(await call())
    engine().stallConnections()
    const response = await call()
    assertComplete(response)
    assert.equal(response.headers[TARGET_HEADER], 'engine-1')
  })

  it('is truncated detectably where a body with a content length is cut', async () => {
    engine().queuedFaults.push({ cutAfterBytes: 40 })
    const response = await callApi({
      url: `${fleet.callerUrl()}/v1/chat/completions`,
      method: 'POST',
      headers: { authorization: `Bearer ${fleet.callerKey}` },
      body: JSON.stringify({
        model: 'briefing',
        messages: [{ role: 'user', content: 'complete' }],
      }),
    })
    assert.equal(response.status, 200)
    assert.equal(response.complete, false)
  })

  it('is rejected as not run when the deadline has passed', async () => {
    const ran = engine().runs.length
    const response = await call({ 'x-auburnbay-deadline-ms': '0' })
    assert.equal(response.status, 504)
    assert.equal(response.headers[VERDICT_HEADER], 'not-run')
    assert.equal(engine().runs.length, ran)
  })
})

describe('a streamed response', () => {
  it('is cancelled at the engine when the deadline passes', async (t) => {
    const fleet = await startFleet({
      engines: 1,
      engine: { wordDelayMs: 20, words: 600 },
    })
    t.after(() => fleet.stop())
    const [engine] = fleet.engines
    assert.ok(engine)
    // A deadline that passes before the response begins gets a complete 504. All
    // deadlines are shorter than the run and the idle timeout.
    let response: CallerResponse | undefined
    for (let ms = 60; response?.status !== 200 && ms < 8_000; ms *= 2) {
      engine.queuedFaults.length = 0
      engine.queuedFaults.push({ silentAfterEvents: 2 })
      const headers = { 'x-auburnbay-deadline-ms': String(ms) }
      response = await callChat(
        fleet.callerUrl(),
        fleet.callerKey,
        'c',
        headers,
      )
      if (response.status !== 200)
        assert.equal(response.status, 504, response.text)
    }
    assert.equal(response?.status, 200)
    assert.equal(response.complete, false)
    const run = engine.runs.at(-1)
    assert.ok(run)
    assert.ok(streamText(run).startsWith(response.text))
    await eventually(() => run.cancelled)
    assert.equal(run.finished, false)
  })
})

describe('a stream whose caller disconnects', () => {
  it('is cancelled at the engine', async () => {
    const fleet = await startFleet({
      engines: 1,
      engine: { wordDelayMs: 20, words: 500 },
    })
    const body = JSON.stringify({
      model: 'briefing',
      stream: true,
      messages: [{ role: 'user', content: 'long' }],
    })
    const req = request(`${fleet.callerUrl()}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${fleet.callerKey}` },
    })
    req.on('error', () => undefined)
    req.on('response', (res) => {
      res.once('data', () => {
        req.destroy()
      })
    })
    req.end(body)
    const run = () => fleet.engines[0]?.runs[0]
    await eventually(() => run()?.cancelled ?? false)
    assert.equal(run()?.finished, false)
    await fleet.stop()
  })
})
