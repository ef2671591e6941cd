import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { formatAddress } from '@auburnbay/http-utils'
import { createVmList } from '@auburnbay/stand-ins'
import { callChat } from '../../__tests__/callApi.js'
import { eventually, startFleet } from '../../__tests__/startFleet.js'

describe('a departing target', () => {
  it('gets no new requests from a router whose VM list is outdated', async () => {
    const laggingList = await createVmList()
    const fleet = await startFleet({
      routers: 2,
      engines: 2,
      settingsOf: (index) =>
        index === 1 ? { vmList: { url: laggingList.url, pollMs: 50 } } : {},
    })
    try {
      const targets = fleet.engines.map((engine, index) => ({
        id: `engine-${index + 1}`,
        role: 'target' as const,
        address: formatAddress(engine.address),
        dataCentre: 'dc-1',
        state: 'live' as const,
      }))
      const routers = [...fleet.vmList.vms]
      laggingList.vms = [...routers, ...targets]
      const [first, second] = targets
      assert.ok(first && second)
      fleet.vmList.vms = [...routers, { ...first, state: 'leaving' }, second]
      const getsNoRequests = async (): Promise<boolean> => {
        const runsBefore = fleet.engines[0]?.runs.length
        for (let chat = 0; chat < 8; chat += 1)
          await callChat(fleet.callerUrl(1), fleet.callerKey, `chat-${chat}`)
        return fleet.engines[0]?.runs.length === runsBefore
      }
      await eventually(getsNoRequests)
      assert.ok(await getsNoRequests())
    } finally {
      await fleet.stop()
      await laggingList.close()
    }
  })
})
