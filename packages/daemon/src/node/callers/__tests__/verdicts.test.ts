import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import { after, before, beforeEach, describe, it } from 'node:test'
import { VERDICT_HEADER } from '@auburnbay/core'
import type { PlainFaults } from '@auburnbay/stand-ins'
import { addService } from '../../__tests__/addService.js'
import { callApi, type CallerResponse } from '../../__tests__/callApi.js'
import { type Fleet, startFleet } from '../../__tests__/startFleet.js'

describe('the verdict on a call to a plain service', () => {
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
      name: 'reset before it was read',
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
      name: 'without an answer',
      faults: { silent: true },
      verdict: 'may-have-run',
      runs: 1,
    },
    {
      name: 'answered with the answer of another',
      faults: { crossAnswers: true },
      verdict: 'may-have-run',
      runs: 1,
    },
  ]
  for (const { name, faults, verdict, runs } of cases) {
    it(`is ${verdict} for a non-idempotent call ${name}`, async () => {
      const before = fleet.plain.calls.length
      for (let tries = 0; tries < 4; tries += 1)
        fleet.plain.queuedFaults.push(faults)
      const answer = await call('POST')
      assert.equal(answer.headers[VERDICT_HEADER], verdict)
      assert.equal(fleet.plain.calls.length - before, runs)
      assert.ok(answer.status >= 500)
    })
  }

  it('is ran for a call that a kept connection could have lost', async () => {
    const before = fleet.plain.calls.length
    assert.equal((await call('GET')).status, 200)
    fleet.plain.stallConnections()
    const answer = await call('POST')
    assert.equal(answer.status, 200)
    assert.equal(fleet.plain.calls.length - before, 2)
  })

  it('shows an idempotent call only the delay of a silent connection', async () => {
    assert.equal((await call('GET')).status, 200)
    fleet.plain.stallConnections()
    assert.equal((await call('GET')).status, 200)
  })

  it('does not vouch for the end of an answer without a length', async () => {
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
    const whole = await callApi({
      url: `${fleet.callerUrl()}/v1/services/old/x`,
      headers: { authorization: `Bearer ${fleet.callerKey}` },
    }).then(
      (answer) => answer.complete,
      () => false,
    )
    server.close()
    assert.equal(whole, false)
  })
})
