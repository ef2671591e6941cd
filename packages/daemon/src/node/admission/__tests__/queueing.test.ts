import assert from 'node:assert/strict'
import { after, before, beforeEach, describe, it } from 'node:test'
import {
  CHAT_HEADER,
  createCallerKey,
  DEADLINE_HEADER,
  REQUEST_KIND_HEADER,
  VERDICT_HEADER,
} from '@auburnbay/core'
import { callApi } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'
import { type OpenCall, openCall } from './openCall.js'

const member = createCallerKey('member', 'office')

describe('queueing for a saturated engine', () => {
  let fleet: Fleet
  let blocker: OpenCall

  before(async () => {
    fleet = await startFleet({
      engines: 1,
      settings: { queue: { maxWaiting: 2 } },
    })
    const add = (path: string, value: unknown) => ({ op: 'add', path, value })
    await fleet.patch(
      [
        add('/targets/engine-1/maxInFlight', 1),
        add('/targets/charts-1/maxInFlight', 1),
        add('/customers/member', { keys: { office: member.stored } }),
        add('/rules/urgent', { requestKind: 'route', rank: 0 }),
        add('/rules/tagging', { requestKind: 'tag', rank: 9 }),
      ],
      1,
    )
  })

  after(() => fleet.stop())

  function call(kind: string, headers: Record<string, string> = {}): OpenCall {
    return openCall({
      url: fleet.callerUrl(),
      key: fleet.callerKey,
      prompt: kind,
      headers: { [CHAT_HEADER]: kind, [REQUEST_KIND_HEADER]: kind, ...headers },
    })
  }

  function waitForQueued(count: number): Promise<void> {
    return eventually(() => fleet.routers[0]?.load.waiting === count)
  }

  function ranChats(): string[] {
    return fleet.engines[0]?.runs.map((run) => run.chat) ?? []
  }

  /** Occupies the engine's only slot with a request that gets no response. */
  beforeEach(async () => {
    const [engine] = fleet.engines
    assert.ok(engine)
    await eventually(() => fleet.routers[0]?.load.running === 0)
    engine.faults.silent = true
    const before = engine.runs.length
    blocker = call('blocker')
    await eventually(() => engine.runs.length === before + 1)
    engine.faults.silent = false
  })

  it('runs the request of the more urgent rank first', async () => {
    const before = ranChats().length
    const low = call('tag')
    await waitForQueued(1)
    const top = call('route')
    await waitForQueued(2)
    blocker.disconnect()
    assert.equal((await low.response)?.status, 200)
    assert.equal((await top.response)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['route', 'tag'])
  })

  it('sheds the least urgent request at once when the queue is full', async () => {
    const before = ranChats().length
    const low = call('tag')
    await waitForQueued(1)
    const mid = call('plain')
    await waitForQueued(2)
    const top = call('route')
    const shed = await low.response
    assert.equal(shed?.status, 503)
    assert.equal(shed.headers[VERDICT_HEADER], 'not-run')
    assert.ok(Number(shed.headers['retry-after']) >= 1)
    await waitForQueued(2)
    blocker.disconnect()
    assert.equal((await top.response)?.status, 200)
    assert.equal((await mid.response)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['route', 'plain'])
  })

  it('reports a request that expires in the queue as not run', async () => {
    const before = ranChats().length
    const late = await call('late', { [DEADLINE_HEADER]: '60' }).response
    assert.equal(late?.status, 504)
    assert.equal(late.headers[VERDICT_HEADER], 'not-run')
    assert.match(late.text, /deadline passed while the request waited/)
    blocker.disconnect()
    assert.equal((await call('next').response)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['next'])
  })

  it('removes a request whose caller disconnects', async () => {
    const before = ranChats().length
    const disconnected = call('disconnected')
    await waitForQueued(1)
    disconnected.disconnect()
    await waitForQueued(0)
    blocker.disconnect()
    assert.equal((await call('next').response)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['next'])
  })

  it('serves another customer before the rest of a burst', async () => {
    const before = ranChats().length
    const first = call('burst-1')
    await waitForQueued(1)
    const second = call('burst-2')
    await waitForQueued(2)
    const other = openCall({
      url: fleet.callerUrl(),
      key: member.text,
      prompt: 'member',
      headers: { [CHAT_HEADER]: 'member' },
    })
    // The queue is full: the burst is shed, not the other customer's request.
    assert.equal((await second.response)?.status, 503)
    await waitForQueued(2)
    blocker.disconnect()
    assert.equal((await other.response)?.status, 200)
    assert.equal((await first.response)?.status, 200)
    assert.equal(ranChats().slice(before).length, 2)
    assert.ok(!ranChats().slice(before).includes('burst-2'))
  })

  it('does not block another service', async () => {
    const low = call('tag')
    await waitForQueued(1)
    const response = await callApi({
      url: `${fleet.callerUrl()}/v1/services/charts/notices`,
      headers: { authorization: `Bearer ${fleet.callerKey}` },
    })
    assert.equal(response.status, 200)
    blocker.disconnect()
    assert.equal((await low.response)?.status, 200)
  })

  it('cancels the run at the engine when the caller disconnects', async () => {
    const inFlight = async (): Promise<unknown> => {
      const res = await callApi({
        url: `${fleet.engines[0]?.url ?? ''}/load`,
      })
      return (JSON.parse(res.text) as { inFlight: number }).inFlight
    }
    assert.equal(await inFlight(), 1)
    blocker.disconnect()
    await eventually(async () => (await inFlight()) === 0)
    assert.equal(fleet.engines[0]?.runs.at(-1)?.finished, false)
  })
})
