import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import { after, before, beforeEach, describe, it } from 'node:test'
import { VERDICT_HEADER } from '@auburnbay/core'
import type { PlainFaults } from '@auburnbay/stand-ins'
import { addService } from '../../__tests__/addService.js'
import { callApi, type CallerResponse } from '../../__tests__/callApi.js'
import { type Fleet, startFleet } from '../../__tests__/startFleet.js'

describe('a call to a plain service', () => {
  let fleet: Fleet

  before(async () => {
    fleet = await startFleet({
      engines: 0,
      settings: {
        targets: {
          connectTimeoutMs: 500,
          firstByteTimeoutMs: 100,
          idleTimeoutMs: 100,
        },
      },
    })
  })

  after(() => fleet.stop())

  beforeEach(() => {
    fleet.plain.queuedFaults.length = 0
  })

  function call(
    method: string,
    headers: Record<string, string> = {},
  ): Promise<CallerResponse> {
    return callApi({
      url: `${fleet.callerUrl()}/v1/services/charts/notices`,
      method,
      headers: { authorization: `Bearer ${fleet.callerKey}`, ...headers },
      body: method === 'POST' ? '{"notice":7}' : undefined,
    })
  }

  const cases: {
    name: string
    faults: Partial<PlainFaults>
    verdict: string
    runs: number
  }[] = [
    {
      name: 'refused by the target',
      faults: { refuse: true },
      verdict: 'not-run',
      runs: 0,
    },
    {
      name: 'reset before the target read it',
      faults: { resetBefore: true },
      verdict: 'may-have-run',
      runs: 0,
    },
    {
      name: 'reset after it ran',
      faults: { resetAfter: true },
      verdict: 'may-have-run',
      runs: 1,
    },
    {
      name: 'left without a response',
      faults: { silent: true },
      verdict: 'may-have-run',
      runs: 1,
    },
    {
      name: 'given the response to another request',
      faults: { crossAnswers: true },
      verdict: 'may-have-run',
      runs: 1,
    },
  ]
  for (const { name, faults, verdict, runs } of cases) {
    it(`gets the verdict ${verdict} when non-idempotent and ${name}`, async () => {
      const before = fleet.plain.calls.length
      for (let attempts = 0; attempts < 4; attempts += 1)
        fleet.plain.queuedFaults.push(faults)
      const response = await call('POST')
      assert.equal(response.headers[VERDICT_HEADER], verdict)
      assert.equal(fleet.plain.calls.length - before, runs)
      assert.ok(response.status >= 500)
    })
  }

  it('runs once when non-idempotent and the pooled connections are half-open', async () => {
    const before = fleet.plain.calls.length
    assert.equal((await call('GET')).status, 200)
    fleet.plain.stallConnections()
    const response = await call('POST')
    assert.equal(response.status, 200)
    assert.equal(fleet.plain.calls.length - before, 2)
  })

  it('succeeds when idempotent and the pooled connections are half-open', async () => {
    assert.equal((await call('GET')).status, 200)
    fleet.plain.stallConnections()
    assert.equal((await call('GET')).status, 200)
  })

  it('gets no complete response when one without a length is truncated', async () => {
    const server = createServer((socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.0 200 OK\r\ncontent-type: text/plain\r\n\r\nhalf')
        setTimeout(() => socket.resetAndDestroy(), 30)
      })
      socket.on('error', () => undefined)
    })
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve)
    })
    const { port } = server.address() as { port: number }
    await fleet.patch(addService('old', `127.0.0.1:${port}`), 1)
    const complete = await callApi({
      url: `${fleet.callerUrl()}/v1/services/old/x`,
      headers: { authorization: `Bearer ${fleet.callerKey}` },
    }).then(
      (response) => response.complete,
      () => false,
    )
    server.close()
    assert.equal(complete, false)
  })
})
