import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { TARGET_HEADER } from '@auburnbay/core'
import { callChat } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'
import { callAdmin } from './callAdmin.js'

describe('the administration API', () => {
  let fleet: Fleet

  before(async () => {
    fleet = await startFleet({ routers: 2, engines: 2 })
  })

  after(() => fleet.stop())

  const get = (path: string) => callAdmin(fleet, { path })
  const post = (path: string, body?: unknown) =>
    callAdmin(fleet, { method: 'POST', path, body })
  const activeVersion = async (): Promise<number> => {
    const { body } = await get('/config')
    return body.version
  }
  const chatWith = (key: string) => callChat(fleet.callerUrl(), key, 'voyage')

  it('shows the configuration without salts and hashes', async () => {
    const { status, body } = await get('/config')
    assert.equal(status, 200)
    const hidden = { salt: '(redacted)', hash: '(redacted)' }
    const { corrib } = body.configuration.customers
    assert.deepEqual(corrib?.keys, { bridge: hidden })
  })

  it('validates a patch without applying it', async () => {
    const version = await activeVersion()
    const wrong = [{ op: 'replace', path: '/defaultRank', value: 99 }]
    const refused = await post('/config/validate', { operations: wrong })
    assert.equal(refused.body.kind, 'invalid')
    assert.match(refused.body.reason, /defaultRank/)
    const right = [{ op: 'replace', path: '/defaultRank', value: 4 }]
    const fine = await post('/config/validate', { operations: right })
    assert.equal(fine.body.kind, 'applied')
    assert.equal(await activeVersion(), version)
  })

  it('shows authors in the history and operations in a diff', async () => {
    const version = await activeVersion()
    const operations = [{ op: 'replace', path: '/defaultRank', value: 6 }]
    const author = 'night-shift'
    const base = { baseVersion: version, author, operations }
    assert.equal((await post('/config/patches', base)).status, 200)
    const history = await get('/config/history?limit=1')
    assert.equal(history.body.entries[0]?.author, author)
    assert.equal(history.body.entries[0].version, version + 1)
    assert.equal(history.body.complete, true)
    const diff = await get(`/config/diff?from=${version}`)
    assert.deepEqual(diff.body.changes[0]?.operations, operations)
    const first = await get('/config/diff?from=0&to=1')
    assert.doesNotMatch(JSON.stringify(first.body), /[0-9a-f]{64}/)
  })

  it('reports whether a conflicting patch can be rebased', async () => {
    const version = await activeVersion()
    const rule = (id: string, rank: number) => ({
      baseVersion: version,
      operations: [{ op: 'add', path: `/rules/${id}`, value: { rank } }],
    })
    assert.equal((await post('/config/patches', rule('one', 1))).status, 200)
    const other = await post('/config/patches', rule('two', 2))
    assert.equal(other.status, 409)
    assert.equal(other.body.version, version + 1)
    assert.deepEqual(other.body.rebase, { possible: true, clashes: [] })
    const same = await post('/config/patches', rule('one', 2))
    assert.deepEqual(same.body.rebase, {
      possible: false,
      clashes: ['/rules/one'],
    })
  })

  it('returns the same outcome when a patch is submitted twice', async () => {
    const patch = {
      patchId: 'submitted-twice',
      baseVersion: await activeVersion(),
      operations: [{ op: 'replace', path: '/defaultRank', value: 7 }],
    }
    const first = await post('/config/patches', patch)
    const second = await post('/config/patches', patch)
    assert.equal(second.status, 200)
    assert.equal(second.body.version, first.body.version)
    const outcome = await get('/config/patches/submitted-twice')
    assert.equal(outcome.body.version, first.body.version)
  })

  it('applies only one of two concurrent patches submitted to two routers', async () => {
    const baseVersion = await activeVersion()
    const submit = (router: number) =>
      callAdmin(fleet, {
        method: 'POST',
        path: '/config/patches',
        router,
        body: {
          baseVersion,
          operations: [{ op: 'replace', path: '/defaultRank', value: router }],
        },
      })
    await eventually(async () => {
      const status = await get('/config/status')
      return status.body.everywhere
    })
    const responses = await Promise.all([submit(0), submit(1)])
    const statuses = responses.map((response) => response.status).sort()
    assert.deepEqual(statuses, [200, 409])
  })

  it('creates, rotates and revokes a key', async () => {
    const path = '/customers/corrib/keys'
    const created = await post(path, { keyId: 'agents' })
    const oldKey = created.body.key
    assert.equal((await chatWith(oldKey)).status, 200)
    const rotated = await post(`${path}/agents/rotate`, { overlapS: 60 })
    const newKey = rotated.body.key
    assert.equal(rotated.body.keyId, 'agents.2')
    assert.equal((await chatWith(oldKey)).status, 200, 'within the overlap')
    assert.equal((await chatWith(newKey)).status, 200)
    const ended = await post(`${path}/agents/rotate`, { overlapS: 0 })
    assert.equal(ended.body.keyId, 'agents.3')
    assert.equal((await chatWith(oldKey)).status, 401, 'after the overlap')
    await callAdmin(fleet, { method: 'DELETE', path: `${path}/agents.2` })
    assert.equal((await chatWith(newKey)).status, 401, 'revoked')
  })

  it('preserves the redacted keys when an entry is replaced', async () => {
    const changed = await callAdmin(fleet, {
      method: 'PUT',
      path: '/customers/corrib',
      body: { weight: 3 },
    })
    assert.equal(changed.status, 200)
    const shown = await get('/customers/corrib')
    assert.equal(shown.body.weight, 3)
    assert.equal((await chatWith(fleet.callerKey)).status, 200)
  })

  it('marks a target as draining', async () => {
    const drained = await post('/targets/charts-1/drain')
    assert.equal(drained.status, 200)
    const targets = await get('/targets')
    const list = targets.body as unknown as { id: string; draining: boolean }[]
    const charts = list.find((target) => target.id === 'charts-1')
    assert.equal(charts?.draining, true)
    assert.equal((await post('/targets/unknown/drain')).status, 422)
    await post('/targets/charts-1/undrain')
  })

  it('explains which target a chat is routed to', async () => {
    const located = await get('/chats/voyage-9')
    const [location] = located.body as unknown as { target: string }[]
    const key = fleet.callerKey
    const response = await callChat(fleet.callerUrl(), key, 'voyage-9')
    assert.equal(response.headers[TARGET_HEADER], location?.target)
    const explained = await get(
      '/explain?service=briefing&customer=corrib&chat=voyage-9',
    )
    assert.equal(explained.body.chosen, location?.target)
    assert.equal(explained.body.candidates.length, 2)
    assert.equal((await get('/explain?service=unknown')).status, 404)
    assert.equal((await get('/explain')).status, 400)
  })

  it('shows the version of each router', async () => {
    await eventually(async () => {
      const { body } = await get('/config/status')
      return body.everywhere && body.routers.length === 2
    })
    const routers = await get('/routers')
    assert.equal((routers.body as unknown as unknown[]).length, 2)
  })

  it('rejects unknown paths, wrong methods and invalid fields', async () => {
    assert.equal((await get('/unknown')).status, 404)
    assert.equal((await post('/routers')).status, 405)
    assert.equal((await get('/config/diff?from=x')).status, 400)
    const missing = await post('/config/patches', { operations: [] })
    assert.equal(missing.status, 400)
    assert.match(missing.body.error.message, /baseVersion/)
  })

  it('does not report a patch as applied while the log is down', async () => {
    fleet.log.faults.outage = true
    try {
      const patch = {
        patchId: 'during-outage',
        baseVersion: await activeVersion(),
        operations: [{ op: 'replace', path: '/defaultRank', value: 2 }],
      }
      const response = await post('/config/patches', patch)
      assert.ok([503, 504].includes(response.status), String(response.status))
    } finally {
      fleet.log.faults.outage = false
    }
  })
})
