import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { describe, it } from 'node:test'
import {
  closeServer,
  createWebServer,
  formatAddress,
  listen,
  sendJson,
} from '@auburnbay/http-utils'
import { addService } from '../../__tests__/addService.js'
import { callApi } from '../../__tests__/callApi.js'
import { eventually, startFleet } from '../../__tests__/startFleet.js'
import { createTestCertificates } from './createTestCertificates.js'

async function startTarget(files: { certFile: string; keyFile: string }) {
  let calls = 0
  let polls = 0
  const tls = {
    cert: readFileSync(files.certFile, 'utf8'),
    key: readFileSync(files.keyFile, 'utf8'),
  }
  const listener = createWebServer(
    {},
    (req, res) => {
      if (req.url === '/load') polls += 1
      else if (req.url === '/x') calls += 1
      const headers = { 'x-request-id': req.headers['x-request-id'] ?? '' }
      sendJson(res, 200, { inFlight: 3 }, headers)
    },
    tls,
  )
  const address = await listen(listener, { host: '127.0.0.1', port: 0 })
  return {
    address: formatAddress(address),
    calls: () => calls,
    polls: () => polls,
    close: () => closeServer(listener),
  }
}

describe('TLS towards targets', () => {
  it('sends requests and load polls only to targets with a certificate of the CA', async () => {
    const certificates = await createTestCertificates()
    const otherCertificates = await createTestCertificates()
    const trusted = await startTarget(await certificates.issue('target'))
    const untrusted = await startTarget(await otherCertificates.issue('target'))
    const { caFile } = certificates
    const targets = { tls: { caFile }, reportMs: 50 }
    const fleet = await startFleet({ engines: 1, settings: { targets } })
    try {
      const operations = [
        ...addService('trusted', trusted.address),
        ...addService('untrusted', untrusted.address),
        ...addService('model', trusted.address, 'model'),
      ]
      assert.equal((await fleet.patch(operations, 1)).status, 200)
      const call = (service: string) =>
        callApi({
          url: `${fleet.callerUrl()}/v1/services/${service}/x`,
          headers: { authorization: `Bearer ${fleet.callerKey}` },
        })
      assert.equal((await call('trusted')).status, 200)
      assert.equal(trusted.calls(), 1)
      // 502 from the attempt itself, or 503 once the target is marked as failing.
      const refused = await call('untrusted')
      assert.ok([502, 503].includes(refused.status), String(refused.status))
      assert.equal(untrusted.calls(), 0)
      await eventually(() => trusted.polls() > 0)
      assert.equal(untrusted.polls(), 0)
    } finally {
      await fleet.stop()
      await Promise.all([trusted.close(), untrusted.close()])
    }
  })
})
