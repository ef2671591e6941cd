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

describe('queueing before a saturated engine', () => {
  let fleet: Fleet
  let holder: OpenCall

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

  function waiting(count: number): Promise<void> {
    return eventually(() => fleet.routers[0]?.load.waiting === count)
  }

  function ranChats(): string[] {
    return fleet.engines[0]?.runs.map((run) => run.chat) ?? []
  }

  /** Takes the engine's only place with a request that gets no answer. */
  beforeEach(async () => {
    const [engine] = fleet.engines
    assert.ok(engine)
    await eventually(() => fleet.routers[0]?.load.running === 0)
    engine.faults.silent = true
    const before = engine.runs.length
    holder = call('holder')
    await eventually(() => engine.runs.length === before + 1)
    engine.faults.silent = false
  })

  it('runs the better rank first', async () => {
    const before = ranChats().length
    const low = call('tag')
    await waiting(1)
    const top = call('route')
    await waiting(2)
    holder.leave()
    assert.equal((await low.answer)?.status, 200)
    assert.equal((await top.answer)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['route', 'tag'])
  })

  it('sheds the lowest rank at once when the queue is full', async () => {
    const before = ranChats().length
    const low = call('tag')
    await waiting(1)
    const mid = call('plain')
    await waiting(2)
    const top = call('route')
    const shed = await low.answer
    assert.equal(shed?.status, 503)
    assert.equal(shed.headers[VERDICT_HEADER], 'not-run')
    assert.ok(Number(shed.headers['retry-after']) >= 1)
    await waiting(2)
    holder.leave()
    assert.equal((await top.answer)?.status, 200)
    assert.equal((await mid.answer)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['route', 'plain'])
  })

  it('answers a request that expires in the queue as not run', async () => {
    const before = ranChats().length
    const late = await call('late', { [DEADLINE_HEADER]: '60' }).answer
    assert.equal(late?.status, 504)
    assert.equal(late.headers[VERDICT_HEADER], 'not-run')
    assert.match(late.text, /deadline passed while the request waited/)
    holder.leave()
    assert.equal((await call('next').answer)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['next'])
  })

  it('forgets a request whose caller goes away', async () => {
    const before = ranChats().length
    const gone = call('gone')
    await waiting(1)
    gone.leave()
    await waiting(0)
    holder.leave()
    assert.equal((await call('next').answer)?.status, 200)
    assert.deepEqual(ranChats().slice(before), ['next'])
  })

  it('serves another customer before the rest of a surge', async () => {
    const before = ranChats().length
    const first = call('surge-1')
    await waiting(1)
    const second = call('surge-2')
    await waiting(2)
    const other = openCall({
      url: fleet.callerUrl(),
      key: member.text,
      prompt: 'member',
      headers: { [CHAT_HEADER]: 'member' },
    })
    // The queue is full: the surge, not the newcomer, gives way.
    assert.equal((await second.answer)?.status, 503)
    await waiting(2)
    holder.leave()
    assert.equal((await other.answer)?.status, 200)
    assert.equal((await first.answer)?.status, 200)
    assert.equal(ranChats().slice(before).length, 2)
    assert.ok(!ranChats().slice(before).includes('surge-2'))
  })

  it('lets another service pass', async () => {
    const low = call('tag')
    await waiting(1)
    const answer = await callApi({
      url: `${fleet.callerUrl()}/v1/services/charts/notices`,
      headers: { authorization: `Bearer ${fleet.callerKey}` },
    })
    assert.equal(answer.status, 200)
    holder.leave()
    assert.equal((await low.answer)?.status, 200)
  })

  it('cancels at the engine when the caller of a running request goes', async () => {
    const inFlight = async (): Promise<unknown> => {
      const reply = await callApi({
        url: `${fleet.engines[0]?.url ?? ''}/load`,
      })
      return (JSON.parse(reply.text) as { inFlight: number }).inFlight
    }
    assert.equal(await inFlight(), 1)
    holder.leave()
    await eventually(async () => (await inFlight()) === 0)
    assert.equal(fleet.engines[0]?.runs.at(-1)?.finished, false)
  })
})
