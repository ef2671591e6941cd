import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import {
  closeServer,
  formatAddress,
  listen,
  sendJson,
} from '@auburnbay/http-utils'
import { addService } from '../../__tests__/addService.js'
import { callApi } from '../../__tests__/callApi.js'
import { startFleet } from '../../__tests__/startFleet.js'

const CALLS = 5

describe('connections to a target', () => {
  it('are reused for the next idempotent request', async () => {
    const sockets = new Set<Socket>()
    const target = createServer((req, res) => {
      if (req.url !== '/load') sockets.add(req.socket)
      const id = req.headers['x-request-id'] ?? ''
      sendJson(res, 200, { inFlight: 0 }, { 'x-request-id': id })
    })
    const address = await listen(target, { host: '127.0.0.1', port: 0 })
    const fleet = await startFleet({ engines: 1 })
    try {
      const operations = addService('echo', formatAddress(address))
      assert.equal((await fleet.patch(operations, 1)).status, 200)
      for (let call = 0; call < CALLS; call += 1) {
        const response = await callApi({
          url: `${fleet.callerUrl()}/v1/services/echo/x`,
          headers: { authorization: `Bearer ${fleet.callerKey}` },
        })
        assert.equal(response.status, 200)
      }
      assert.equal(sockets.size, 1)
    } finally {
      await fleet.stop()
      await closeServer(target)
    }
  })
})
