import assert from 'node:assert/strict'
import { createServer, type IncomingHttpHeaders } from 'node:http'
import { after, before, describe, it } from 'node:test'
import {
  closeServer,
  formatAddress,
  listen,
  sendJson,
  type WebServer,
} from '@auburnbay/http-utils'
import { addService } from '../../__tests__/addService.js'
import { callApi } from '../../__tests__/callApi.js'
import { type Fleet, startFleet } from '../../__tests__/startFleet.js'

describe('headers between caller and target', () => {
  let fleet: Fleet
  let target: WebServer
  const seen: IncomingHttpHeaders[] = []

  before(async () => {
    target = createServer((req, res) => {
      if (req.url === '/load') {
        sendJson(res, 200, { inFlight: 0 })
        return
      }
      seen.push(req.headers)
      const { 'x-request-id': id } = req.headers
      const headers = {
        'x-request-id': id,
        connection: 'x-internal',
        'x-internal': 'secret',
        'proxy-authenticate': 'Basic',
        'x-end-to-end': 'yes',
      }
      sendJson(res, 200, {}, headers)
    })
    const address = await listen(target, { host: '127.0.0.1', port: 0 })
    fleet = await startFleet({ engines: 1 })
    const operations = addService('echo', formatAddress(address))
    assert.equal((await fleet.patch(operations, 1)).status, 200)
  })

  after(async () => {
    await fleet.stop()
    await closeServer(target)
  })

  it('are dropped when they are hop-by-hop headers', async () => {
    const response = await callApi({
      url: `${fleet.callerUrl()}/v1/services/echo/x`,
      headers: {
        authorization: `Bearer ${fleet.callerKey}`,
        connection: 'close, X-Private, X-Request-Id',
        'x-private': 'a',
        'x-request-id': 'chosen-by-the-caller',
        te: 'trailers',
        'proxy-authorization': 'Basic x',
        'keep-alive': 'timeout=5',
        upgrade: 'h2c',
        'x-end-to-end': 'yes',
      },
    })
    assert.equal(response.status, 200)
    const headers = seen.at(-1) ?? {}
    assert.equal(headers['x-end-to-end'], 'yes')
    const hopByHop = ['x-private', 'te', 'upgrade', 'keep-alive']
    for (const name of [...hopByHop, 'authorization', 'proxy-authorization'])
      assert.equal(headers[name], undefined, name)
    assert.ok(headers['x-request-id'])
    assert.notEqual(headers['x-request-id'], 'chosen-by-the-caller')
    assert.equal(response.headers['x-end-to-end'], 'yes')
    assert.equal(response.headers['x-internal'], undefined)
    assert.equal(response.headers['proxy-authenticate'], undefined)
  })
})
