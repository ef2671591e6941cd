import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { LEASE_STREAM } from '@auburnbay/core'
import { requestJson } from '@auburnbay/http-utils'
import {
  createWeightStore,
  type EngineStandIn,
  type WeightStoreStandIn,
} from '@auburnbay/stand-ins'
import { callChat } from '../../__tests__/callApi.js'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'

const MODEL_CHANGE_TIMEOUT_MS = 40_000

function createEngineState(model: string) {
  return { model, modelVersion: '1', adapters: {}, role: 'mixed' }
}

describe('orders to engines', () => {
  let fleet: Fleet
  let weightStore: WeightStoreStandIn

  async function setDesiredModel(
    model: string,
    baseVersion: number,
  ): Promise<void> {
    const response = await fleet.patch(
      [1, 2].map((index) => ({
        op: 'add',
        path: `/targets/engine-${index}/desired`,
        value: { model },
      })),
      baseVersion,
    )
    assert.equal(response.status, 200, JSON.stringify(response.body))
  }

  const waitForModel = (engine: EngineStandIn, model: string) =>
    eventually(() => engine.orders.state.model === model)

  before(async () => {
    weightStore = await createWeightStore(60)
    fleet = await startFleet({
      routers: 2,
      engines: 2,
      engine: {
        orders: { weightStoreUrl: weightStore.url, checksFencing: false },
      },
      settings: { orders: { leaseMs: 2_000, weightLoadsPerMinute: 60 } },
    })
  })

  after(async () => {
    await fleet.stop()
    await weightStore.close()
  })

  it('changes models only on drained engines, within the store’s rate', async () => {
    await setDesiredModel('first', 1)
    let sent = 0
    const failed: string[] = []
    // Chats are sent while the engines are changed one after the other.
    const areChanged = async (): Promise<boolean> => {
      const chat = `chat-${sent}`
      const url = fleet.callerUrl(sent % 2)
      sent += 1
      const response = await callChat(url, fleet.callerKey, chat)
      if (response.status !== 200) failed.push(response.text)
      return fleet.engines.every((e) => e.orders.state.model === 'first')
    }
    const end = performance.now() + MODEL_CHANGE_TIMEOUT_MS
    while (performance.now() < end && !(await areChanged()));
    assert.ok(await areChanged(), 'the engines were not changed')
    assert.deepEqual(failed, [])
    const applied = fleet.engines.flatMap((engine) => engine.orders.applied)
    assert.ok(applied.every(({ inFlight }) => inFlight === 0))
    assert.equal(weightStore.refused.length, 0)
  })

  it('corrects an engine that accepted a late order of a paused lease holder', async () => {
    const [engine] = fleet.engines
    assert.ok(engine)
    const late = await requestJson({
      method: 'PUT',
      url: `${engine.url}/orders/state`,
      body: { token: -1, state: createEngineState('late') },
      timeoutMs: 2_000,
    })
    assert.equal(late._unsafeUnwrap().status, 200)
    assert.equal(engine.orders.state.model, 'late')
    await waitForModel(engine, 'first')
  })

  it('grants the lease to one router only', () => {
    const { nextOffset } = fleet.log.stream(LEASE_STREAM)
    const records = fleet.log.stream(LEASE_STREAM).read(0, nextOffset)
    const holders = new Set(
      records.map(({ value }) => (value as { holder: string }).holder),
    )
    assert.equal(holders.size, 1)
  })
})

describe('an engine that checks fencing tokens', () => {
  it('refuses a late order of a paused lease holder', async () => {
    const fleet = await startFleet({
      routers: 1,
      engines: 1,
      settings: { orders: { leaseMs: 2_000, weightLoadsPerMinute: 600 } },
    })
    try {
      // Earlier records raise the holder's token above that of the late order.
      fleet.log.stream(LEASE_STREAM).append([null, null, null])
      const path = '/targets/engine-1/desired'
      const value = { model: 'right' }
      await fleet.patch([{ op: 'add', path, value }], 1)
      const [engine] = fleet.engines
      assert.ok(engine)
      await eventually(() => engine.orders.state.model === 'right')
      const late = await requestJson({
        method: 'PUT',
        url: `${engine.url}/orders/state`,
        body: { token: 1, state: createEngineState('late') },
        timeoutMs: 2_000,
      })
      assert.equal(late._unsafeUnwrap().status, 409)
      assert.equal(engine.orders.state.model, 'right')
    } finally {
      await fleet.stop()
    }
  })
})
