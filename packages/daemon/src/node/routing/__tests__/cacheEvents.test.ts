import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { HINT_HEADER, signHint, TARGET_HEADER } from '@auburnbay/core'
import { callApi, callChat } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
  TEST_ADMIN_TOKEN,
} from '../../__tests__/startFleet.js'

const HINT_SECRET = 'test-hint-secret-0123456789'

describe('cache events', () => {
  let fleet: Fleet

  before(async () => {
    fleet = await startFleet({
      engines: 3,
      engine: { publishesCacheEvents: true },
    })
  })

  after(() => fleet.stop())

  async function targetOf(chat: string, hint?: string): Promise<string> {
    const headers = hint === undefined ? undefined : { [HINT_HEADER]: hint }
    const response = await callChat(
      fleet.callerUrl(),
      fleet.callerKey,
      chat,
      headers,
    )
    assert.equal(response.status, 200, response.text)
    return String(response.headers[TARGET_HEADER])
  }

  async function hintedTarget(chat: string): Promise<unknown> {
    const response = await callApi({
      url: `${fleet.adminUrl()}/explain?service=briefing&chat=${chat}`,
      headers: { authorization: `Bearer ${TEST_ADMIN_TOKEN}` },
    })
    const explanation = JSON.parse(response.text) as Record<string, unknown>
    assert.equal(
      explanation.hintSource,
      explanation.hintedTarget ? 'cache-events' : 'none',
    )
    return explanation.hintedTarget
  }

  it('route a chat without a hint to the target that has it cached, until a gap in the events', async () => {
    const preferred = await targetOf('floe')
    const other = preferred === 'engine-1' ? 'engine-2' : 'engine-1'
    const owner = { customer: 'corrib', service: 'briefing', chat: 'floe' }
    await eventually(async () => (await hintedTarget('floe')) === preferred)
    const otherHint = signHint(HINT_SECRET, owner, other)
    assert.equal(await targetOf('floe', otherHint), other)
    await eventually(async () => (await hintedTarget('floe')) === other)
    assert.equal(await targetOf('floe'), other)

    const engine = fleet.engines[Number(other.split('-')[1]) - 1]
    assert.ok(engine)
    engine.cacheEvents.loseNext = 1
    const bergOwner = { ...owner, chat: 'berg' }
    await targetOf('berg', signHint(HINT_SECRET, bergOwner, other))
    await targetOf(
      'lead',
      signHint(HINT_SECRET, { ...owner, chat: 'lead' }, other),
    )
    await eventually(async () => (await hintedTarget('floe')) === undefined)
    assert.equal(await targetOf('floe'), preferred)
  })
})
