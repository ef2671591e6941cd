import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { createCallerKey } from '@auburnbay/core'
import { formatAddress, requestJson } from '@auburnbay/http-utils'
import { callApi, callChat } from '../../__tests__/callApi.js'
import {
  type Fleet,
  startFleet,
  TEST_ADMIN_TOKEN,
} from '../../__tests__/startFleet.js'
import { callAdmin } from '../../admin/__tests__/callAdmin.js'
import { PEER_SECRET_HEADER } from '../../peers/peerSecret.js'

describe('authentication', () => {
  let fleet: Fleet
  let expiredKey = ''

  before(async () => {
    fleet = await startFleet({ engines: 1 })
    const key = createCallerKey('corrib', 'old')
    expiredKey = key.text
    const value = { ...key.stored, expiresAtMs: 1 }
    const path = '/customers/corrib/keys/old'
    const response = await fleet.patch([{ op: 'add', path, value }], 1)
    assert.equal(response.status, 200)
  })

  after(() => fleet.stop())

  describe('of callers', () => {
    const keys: [string, () => string][] = [
      ['no key', () => ''],
      ['a key with a wrong secret', () => `${fleet.callerKey}x`],
      ['another key’s id', () => fleet.callerKey.replace('bridge', 'deck')],
      ['another customer’s name', () => fleet.callerKey.replace('corrib', 'x')],
      [
        'a key of `Object.prototype` as customer',
        () => 'constructor/keys/secret',
      ],
      ['an expired key', () => expiredKey],
      ['the administration secret', () => TEST_ADMIN_TOKEN],
      ['an unknown key id', () => 'corrib/unknown/secret'],
    ]
    for (const [name, key] of keys) {
      it(`rejects ${name}`, async () => {
        const response = await callChat(fleet.callerUrl(), key(), 'voyage')
        assert.equal(response.status, 401)
        assert.equal(fleet.engines[0]?.runs.length, 0)
      })
    }
  })

  describe('of the administration API', () => {
    const tokens: [string, () => string][] = [
      ['no token', () => ''],
      ['a wrong token', () => 'wrong'],
      ['an unknown operator', () => 'nobody/secret'],
      ['a caller’s key', () => fleet.callerKey],
      ['the peers’ secret', () => 'test-peer-secret-0123456789'],
      ['the administration secret with a suffix', () => `${TEST_ADMIN_TOKEN}x`],
    ]
    const paths = ['/config', '/config/patches', '/routers', '/nowhere']
    for (const [name, token] of tokens) {
      it(`rejects ${name}`, async () => {
        for (const path of paths) {
          const response = await callAdmin(fleet, { path, token: token() })
          assert.equal(response.status, 401, path)
        }
      })
    }

    it('does not serve the API on the listeners of callers and peers', async () => {
      const headers = { authorization: `Bearer ${TEST_ADMIN_TOKEN}` }
      const peers = fleet.routers[0]?.addresses.peers
      assert.ok(peers)
      const bases = [fleet.callerUrl(), `http://${formatAddress(peers)}`]
      for (const base of bases) {
        const response = await callApi({ url: `${base}/config`, headers })
        assert.ok(response.status >= 400, base)
        assert.doesNotMatch(response.text, /corrib/)
      }
    })
  })

  describe('of peers', () => {
    const secrets: [string, string | undefined][] = [
      ['no secret', undefined],
      ['a wrong secret', 'test-peer-secret-012345678'],
      ['the administration secret', TEST_ADMIN_TOKEN],
    ]
    for (const [name, secret] of secrets) {
      it(`rejects ${name}`, async () => {
        const peers = fleet.routers[0]?.addresses.peers
        assert.ok(peers)
        const response = await requestJson({
          method: 'POST',
          url: `http://${formatAddress(peers)}/heartbeat`,
          headers: secret === undefined ? {} : { [PEER_SECRET_HEADER]: secret },
          body: {},
          timeoutMs: 5_000,
        })
        assert.equal(response._unsafeUnwrap().status, 401)
      })
    }
  })
})
