import assert from 'node:assert/strict'
import { after, before, beforeEach, describe, it } from 'node:test'
import { VERDICT_HEADER } from '@auburnbay/core'
import { callApi, type CallerResponse } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'

const STREAM = 'claims'

describe('a non-idempotent call with a key', () => {
  let fleet: Fleet
  let keyCount = 0

  before(async () => {
    fleet = await startFleet({
      routers: 2,
      engines: 0,
      settings: {
        claims: { batchMs: 5, decideTimeoutMs: 1_000 },
        targets: { firstByteTimeoutMs: 150 },
      },
    })
  })

  after(() => fleet.stop())

  beforeEach(() => {
    fleet.plain.queuedFaults.length = 0
    Object.assign(fleet.log.faults, {
      outage: false,
      silent: false,
      loseReplies: 0,
      delayMs: 0,
    })
  })

  function newKey(): string {
    keyCount += 1
    return `${Date.now()}.notice-${keyCount}`
  }

  function call(
    key: string,
    router = 0,
    body = '{"notice":7}',
  ): Promise<CallerResponse> {
    return callApi({
      url: `${fleet.callerUrl(router)}/v1/services/charts/notices`,
      method: 'POST',
      headers: {
        authorization: `Bearer ${fleet.callerKey}`,
        'idempotency-key': key,
      },
      body,
    })
  }

  function countRuns(key: string): number {
    return fleet.plain.calls.filter(
      ({ idempotencyKey }) => idempotencyKey === key,
    ).length
  }

  function readRecordKinds(): string[] {
    const records = fleet.log.stream(STREAM).read(0, 1_000)
    return records.map(({ value }) => (value as { kind: string }).kind)
  }

  async function callUntil(key: string, verdict: string, router = 1) {
    let response: CallerResponse | undefined
    await eventually(async () => {
      response = await call(key, router)
      return response.headers[VERDICT_HEADER] === verdict
    })
    assert.ok(response)
    return response
  }

  it('runs once when sent through two routers at once', async () => {
    const key = newKey()
    const responses = await Promise.all([call(key, 0), call(key, 1)])
    assert.deepEqual(
      responses.map((response) => response.status).sort(),
      [200, 409],
    )
    assert.equal(countRuns(key), 1)
    const refused = responses.find((response) => response.status === 409)
    assert.notEqual(refused?.headers[VERDICT_HEADER], 'not-run')
    const later = await callUntil(key, 'ran')
    assert.equal(later.status, 409)
    assert.match(later.text, /status 200/)
    assert.equal(countRuns(key), 1)
  })

  it('runs once when the response of the log is lost after the write', async () => {
    const key = newKey()
    fleet.log.faults.loseReplies = 1
    const response = await call(key)
    assert.equal(response.status, 200)
    assert.equal(countRuns(key), 1)
  })

  it('is refused as not run while the log is down', async () => {
    const key = newKey()
    fleet.log.faults.outage = true
    const response = await call(key)
    assert.equal(response.status, 503)
    assert.equal(response.headers[VERDICT_HEADER], 'not-run')
    assert.equal(countRuns(key), 0)
    fleet.log.faults.outage = false
    await eventually(async () => (await call(key)).status === 200)
    assert.equal(countRuns(key), 1)
  })

  it('is refused as not run while the log hangs, and accepted again later', async () => {
    const key = newKey()
    fleet.log.faults.silent = true
    const response = await call(key)
    assert.equal(response.status, 503)
    assert.equal(response.headers[VERDICT_HEADER], 'not-run')
    fleet.log.faults.silent = false
    await eventually(async () => (await call(key, 1)).status === 200)
    assert.equal(countRuns(key), 1)
  })

  it('releases a claim that the log decides after the router timed out', async () => {
    assert.equal((await call(newKey(), 1)).status, 200)
    await eventually(() => readRecordKinds().at(-1) === 'outcome')
    const key = newKey()
    fleet.log.faults.delayMs = 1_400
    const refused = await call(key, 1)
    assert.equal(refused.headers[VERDICT_HEADER], 'not-run')
    fleet.log.faults.delayMs = 0
    await eventually(() => readRecordKinds().at(-1) === 'release')
    await eventually(async () => (await call(key, 0)).status === 200)
    assert.equal(countRuns(key), 1)
  })

  it('is accepted again after the target refused it', async () => {
    const key = newKey()
    for (let attempts = 0; attempts < 3; attempts += 1)
      fleet.plain.queuedFaults.push({ refuse: true })
    const refused = await call(key)
    assert.equal(refused.headers[VERDICT_HEADER], 'not-run')
    fleet.plain.queuedFaults.length = 0
    await eventually(async () => (await call(key, 1)).status === 200)
    assert.equal(countRuns(key), 1)
  })

  it('is reported as may-have-run after the target did not respond', async () => {
    const key = newKey()
    fleet.plain.queuedFaults.push({ silent: true })
    const first = await call(key)
    assert.equal(first.headers[VERDICT_HEADER], 'may-have-run')
    const later = await call(key, 1)
    assert.equal(later.headers[VERDICT_HEADER], 'may-have-run')
    assert.equal(countRuns(key), 1)
  })

  it('is refused when the key was used with another body', async () => {
    const key = newKey()
    assert.equal((await call(key)).status, 200)
    const other = await call(key, 0, '{"notice":8}')
    assert.equal(other.status, 422)
    assert.equal(countRuns(key), 1)
  })

  it('is refused when the key has no timestamp or one in the future', async () => {
    assert.equal((await call('notice-7')).status, 400)
    const future = `${Date.now() + 3_600_000}.notice`
    assert.equal((await call(future)).status, 400)
    assert.equal(countRuns(future), 0)
  })

  it('is refused when the key is older than the log', async () => {
    const key = newKey()
    assert.equal((await call(key)).status, 200)
    fleet.log.stream(STREAM).trim(fleet.log.stream(STREAM).nextOffset)
    await call(newKey(), 1)
    await eventually(async () => (await call(key, 1)).status === 409)
    const late = await call(key, 1)
    assert.match(late.text, /key-too-old/)
    assert.equal(late.headers[VERDICT_HEADER], 'may-have-run')
    assert.equal(countRuns(key), 1)
  })
})
