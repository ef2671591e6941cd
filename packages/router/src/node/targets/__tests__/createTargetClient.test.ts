import assert from 'node:assert/strict'
import { once } from 'node:events'
import { createServer } from 'node:http'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import { Verdict } from '@auburnbay/core/verdict/verdict'
import { closeServer, listen } from '@auburnbay/http-utils/listen'
import { testCall } from '../../callers/__tests__/testCall.js'
import { createTargetClient } from '../createTargetClient.js'
import { TargetFailureCause } from '../targetFailure.js'
import type { TargetProtocol } from '../targetProtocol.js'

const protocol: TargetProtocol = {
  requestHeaders: () => ['Host', 'a.example', 'Content-Length', '0'],
  decodeHead: (res) => ({
    status: res.statusCode ?? 0,
    isForRequest: true,
    notRun: false,
    wrongTarget: false,
    signed: true,
  }),
  responseHeaders: (headers) => [...headers],
}

describe('createTargetClient', () => {
  for (const [name, isReused] of [
    ['a new connection', false],
    ['a kept connection', true],
  ] as const)
    it(`writes nothing on ${name} to a target that has meanwhile said that it takes no requests`, async () => {
      let received = 0
      let isAccepting = true
      const server = createServer((_req, res) => {
        received += 1
        res.end()
      })
      const address = await listen(server, { host: '127.0.0.1', port: 0 })
      const client = createTargetClient({
        protocol,
        connectTimeoutMs: 5_000,
        keepAliveTimeoutMs: 5_000,
        onStatement: () => undefined,
        acceptsRequests: () => isAccepting,
      })
      const call = testCall()
      const target = {
        id: 'a',
        service: 'service',
        ...address,
        slots: 1,
        softwareVersion: 'v1',
        draining: false,
      }
      const send = () =>
        client.send({
          call,
          options: { target, bodyBytes: 0, remainingMs: 5_000 },
          signal: call.signal,
          headerTimeoutMs: 5_000,
        })
      try {
        if (isReused) {
          const first = await send()
          const { res } = first._unsafeUnwrap()
          res.resume()
          await once(res, 'end')
          await turn()
        }
        const before = received
        const pending = send()
        isAccepting = false
        const failure = (await pending)._unsafeUnwrapErr()
        assert.equal(failure.cause, TargetFailureCause.Withheld)
        assert.equal(failure.verdict, Verdict.NotRun)
        assert.equal(received, before)
      } finally {
        client.close()
        await closeServer(server)
      }
    })
})
