import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import {
  type Fleet,
  startFleet,
  TEST_ADMIN_TOKEN,
} from '../../__tests__/startFleet.js'
import { callAdmin } from './callAdmin.js'

describe('teams', () => {
  let fleet: Fleet
  const tokens: Record<string, string> = {}

  before(async () => {
    fleet = await startFleet({ engines: 1 })
    const put = async (path: string, body: unknown): Promise<void> => {
      const response = await callAdmin(fleet, { method: 'PUT', path, body })
      assert.equal(response.status, 200, JSON.stringify(response.body))
    }
    await put('/teams/ice', { quotas: { maxCustomers: 1 } })
    await put('/teams/labour', {})
    await put('/customers/firm', { team: 'labour' })
    await put('/customers/bridge', { team: 'ice' })
    const operators = [
      ['ice-viewer', 'ice', 'viewer'],
      ['ice-editor', 'ice', 'editor'],
      ['ice-owner', 'ice', 'owner'],
    ]
    for (const [id = '', team, role] of operators) {
      const body = { id, team, role }
      const path = '/operators'
      const created = await callAdmin(fleet, { method: 'POST', path, body })
      assert.equal(created.status, 200, JSON.stringify(created.body))
      tokens[id] = created.body.token
    }
    const expired = {
      id: 'expired',
      team: 'ice',
      role: 'owner',
      expiresInS: 0.001,
    }
    const created = await callAdmin(fleet, {
      method: 'POST',
      path: '/operators',
      body: expired,
    })
    tokens.expired = created.body.token
  })

  after(() => fleet.stop())

  const putCustomer = (id: string, token: string | undefined) =>
    callAdmin(fleet, {
      method: 'PUT',
      path: `/customers/${id}`,
      token: token ?? '',
      body: { team: id === 'firm' ? 'labour' : 'ice', weight: 2 },
    })

  it('lets an editor change a customer of its team and records it as the author', async () => {
    const changed = await putCustomer('bridge', tokens['ice-editor'])
    assert.equal(changed.status, 200)
    const path = '/config/history?limit=1'
    const history = await callAdmin(fleet, { path })
    assert.equal(history.body.entries[0]?.author, 'ice-editor')
    assert.equal(history.body.entries[0].operator, 'ice-editor')
  })

  it('does not let an operator set another author', async () => {
    const { body } = await callAdmin(fleet, { path: '/config' })
    const operations = [
      { op: 'add', path: '/customers/bridge/weight', value: 4 },
    ]
    const response = await callAdmin(fleet, {
      method: 'POST',
      path: '/config/patches',
      token: tokens['ice-editor'],
      body: { baseVersion: body.version, author: 'ice-owner', operations },
    })
    assert.equal(response.status, 200)
    const path = '/config/history?limit=1'
    const history = await callAdmin(fleet, { path })
    assert.equal(history.body.entries[0]?.author, 'ice-editor')
  })

  const forbiddenChanges: [string, string, number][] = [
    ['ice-viewer', 'bridge', 403],
    ['ice-editor', 'firm', 403],
    ['ice-owner', 'firm', 403],
    ['expired', 'bridge', 401],
  ]
  for (const [operator, customer, status] of forbiddenChanges) {
    it(`rejects a change of ${customer} by ${operator} with ${status}`, async () => {
      const length = fleet.log.stream('configuration').nextOffset
      const response = await putCustomer(customer, tokens[operator])
      assert.equal(response.status, status)
      assert.equal(fleet.log.stream('configuration').nextOffset, length)
    })
  }

  it('enforces the quota of customers', async () => {
    const response = await putCustomer('second', tokens['ice-owner'])
    assert.equal(response.status, 422)
    assert.match(response.body.error.message, /maxCustomers/)
  })

  it('lets an owner create operators only in its own team', async () => {
    const create = (id: string, team: string) =>
      callAdmin(fleet, {
        method: 'POST',
        path: '/operators',
        token: tokens['ice-owner'],
        body: { id, team, role: 'viewer' },
      })
    assert.equal((await create('ice-second', 'ice')).status, 200)
    assert.equal((await create('spy', 'labour')).status, 403)
  })

  it('rejects an operator whose token was rotated or who was removed', async () => {
    const old = tokens['ice-viewer']
    const path = '/operators/ice-viewer/rotate'
    const rotated = await callAdmin(fleet, { method: 'POST', path, body: {} })
    const read = (token = '') => callAdmin(fleet, { path: '/customers', token })
    assert.equal((await read(old)).status, 401)
    const renewed = rotated.body.token
    assert.equal((await read(renewed)).status, 200)
    const entry = '/operators/ice-viewer'
    await callAdmin(fleet, { method: 'DELETE', path: entry })
    assert.equal((await read(renewed)).status, 401)
  })

  it('rejects a forbidden patch that was appended to the log directly', async () => {
    const { body } = await callAdmin(fleet, { path: '/config' })
    const version = body.version
    const stream = fleet.log.stream('configuration')
    stream.append([
      {
        type: 'patch',
        schema: 1,
        patchId: 'forged',
        baseVersion: version,
        author: 'ice-editor',
        operator: 'ice-editor',
        operations: [{ op: 'replace', path: '/defaultRank', value: 0 }],
      },
    ])
    await putCustomer('bridge', TEST_ADMIN_TOKEN)
    const path = '/config/patches/forged'
    const outcome = await callAdmin(fleet, { path })
    assert.equal(outcome.body.kind, 'invalid')
  })
})
