import assert from 'node:assert/strict'
import { writeFileSync } from 'node:fs'
import { Agent, request } from 'node:https'
import { connect, type PeerCertificate, TLSSocket } from 'node:tls'
import { describe, it } from 'node:test'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import { callApi } from '../../__tests__/callApi.js'
import { eventually, startFleet } from '../../__tests__/startFleet.js'
import { callAdmin } from '../../admin/__tests__/callAdmin.js'
import { PEER_SECRET_HEADER } from '../../peers/peerSecret.js'
import {
  createTestCertificates,
  type TestCertificates,
} from './createTestCertificates.js'
import { startTlsRouter, type TlsRouter } from './startTlsRouter.js'

/** Longer than any test, so that only `reloadCertificates()` loads files. */
const NO_POLL_MS = 60_000
const FAST_POLL_MS = 20

function readSerialNumber(router: TlsRouter, ca: string): Promise<string> {
  const { host, port } = router.daemon.addresses.callers
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, ca }, () => {
      const certificate: PeerCertificate = socket.getPeerCertificate()
      socket.destroy()
      resolve(certificate.serialNumber)
    })
    socket.once('error', reject)
  })
}

async function withRouter(
  pollMs: number,
  run: (router: TlsRouter, certificates: TestCertificates) => Promise<void>,
): Promise<void> {
  const certificates = await createTestCertificates()
  const router = await startTlsRouter(
    await certificates.issue('router'),
    pollMs,
  )
  try {
    await run(router, certificates)
  } finally {
    await router.stop()
  }
}

describe('TLS of the listeners', () => {
  it('serves callers and operators, and refuses plain HTTP', () =>
    withRouter(NO_POLL_MS, async ({ daemon }, { ca }) => {
      const { callers, admin } = daemon.addresses
      const agent = new Agent({ ca })
      const call = (address: string) =>
        requestJson({
          method: 'GET',
          url: `https://${address}/config`,
          timeoutMs: 5_000,
          agent,
        })
      const asCaller = await call(formatAddress(callers))
      assert.equal(asCaller._unsafeUnwrap().status, 401)
      const asOperator = await call(formatAddress(admin))
      assert.equal(asOperator._unsafeUnwrap().status, 401)
      const url = `http://${formatAddress(callers)}/healthz`
      await assert.rejects(callApi({ url }))
      agent.destroy()
    }))

  it('loads a renewed certificate without dropping open connections', () =>
    withRouter(NO_POLL_MS, async (router, certificates) => {
      const { ca } = certificates
      const agent = new Agent({ ca, keepAlive: true, maxSockets: 1 })
      const { host, port } = router.daemon.addresses.callers
      const sockets = new Set<unknown>()
      const checkHealth = (): Promise<number | undefined> =>
        new Promise((resolve, reject) => {
          const req = request({ host, port, path: '/healthz', agent })
          req.once('error', reject)
          req.once('response', (res) => {
            assert.ok(res.socket instanceof TLSSocket)
            sockets.add(res.socket)
            res.resume().once('end', () => {
              resolve(res.statusCode)
            })
          })
          req.end()
        })
      const first = await readSerialNumber(router, ca)
      assert.equal(await checkHealth(), 200)
      await certificates.issue('router')
      router.daemon.reloadCertificates()
      assert.notEqual(await readSerialNumber(router, ca), first)
      assert.equal(await checkHealth(), 200)
      assert.equal(sockets.size, 1, 'the open connection was reused')
      agent.destroy()
    }))

  it('polls for a renewed certificate and keeps the current one when the file is invalid', () =>
    withRouter(FAST_POLL_MS, async (router, certificates) => {
      const { ca } = certificates
      const first = await readSerialNumber(router, ca)
      const files = await certificates.issue('router')
      await eventually(
        async () => (await readSerialNumber(router, ca)) !== first,
      )
      const second = await readSerialNumber(router, ca)
      writeFileSync(files.certFile, 'not a certificate')
      router.daemon.reloadCertificates()
      assert.equal(await readSerialNumber(router, ca), second)
    }))
})

describe('TLS between routers', () => {
  it('accepts only clients with a certificate signed by the CA', async () => {
    const certificates = await createTestCertificates()
    const { caFile, ca } = certificates
    const tls = { ...(await certificates.issue('router')), caFile }
    const anyPort = { host: '127.0.0.1', port: 0 }
    const listen = { callers: anyPort, admin: anyPort }
    const peers = { ...anyPort, tls }
    const settings = { listen: { ...listen, peers } }
    const fleet = await startFleet({ routers: 2, engines: 1, settings })
    try {
      await eventually(async () => {
        const { body } = await callAdmin(fleet, { path: '/config/status' })
        return body.routers.length === 2
      })
      const address = fleet.routers[0]?.addresses.peers
      assert.ok(address)
      const url = `https://${formatAddress(address)}/heartbeat`
      const secret = { [PEER_SECRET_HEADER]: 'test-peer-secret-0123456789' }
      const call = { method: 'POST', url, headers: secret, timeoutMs: 5_000 }
      const withoutCertificate = new Agent({
        ca,
        checkServerIdentity: () => undefined,
      })
      const refused = await requestJson({ ...call, agent: withoutCertificate })
      assert.ok(refused.isErr(), 'a client without a certificate was accepted')
    } finally {
      await fleet.stop()
    }
  })
})
