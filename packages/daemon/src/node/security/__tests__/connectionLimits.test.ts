import assert from 'node:assert/strict'
import { Agent } from 'node:http'
import { connect } from 'node:net'
import { describe, it } from 'node:test'
import { requestJson } from '@auburnbay/http-utils'
import {
  eventually,
  type Fleet,
  startFleet,
} from '../../__tests__/startFleet.js'

async function withFleet(
  callers: object,
  run: (fleet: Fleet) => Promise<void>,
): Promise<void> {
  const fleet = await startFleet({ engines: 1, settings: { callers } })
  try {
    await run(fleet)
  } finally {
    await fleet.stop()
  }
}

describe('connections of callers', () => {
  it('are closed before a request is read when their address is at its limit', () =>
    withFleet({ maxConnectionsPerAddress: 4 }, async (fleet) => {
      const address = fleet.routers[0]?.addresses.callers
      assert.ok(address)
      const sockets = Array.from({ length: 8 }, () => connect(address).resume())
      const open = () => sockets.filter((socket) => !socket.destroyed).length
      try {
        // The readiness checks of startFleet may hold one of the four.
        await eventually(() => open() <= 4)
        assert.ok(open() >= 3, `${open()} are open`)
      } finally {
        for (const socket of sockets) socket.destroy()
      }
      await eventually(async () => {
        const url = `${fleet.callerUrl()}/healthz`
        const response = await requestJson({
          method: 'GET',
          url,
          timeoutMs: 2_000,
        })
        return response.isOk()
      })
    }))

  it('are rejected as not run when their customer is at its limit', () =>
    withFleet({ maxConnectionsPerCustomer: 1 }, async (fleet) => {
      const agents = [new Agent({ keepAlive: true }), new Agent()]
      const call = async (agent?: Agent) => {
        const response = await requestJson({
          method: 'GET',
          url: `${fleet.callerUrl()}/v1/services/charts/x`,
          headers: { authorization: `Bearer ${fleet.callerKey}` },
          timeoutMs: 5_000,
          agent,
        })
        return response._unsafeUnwrap()
      }
      assert.equal((await call(agents[0])).status, 200)
      const second = await call(agents[1])
      assert.equal(second.status, 429)
      assert.match(JSON.stringify(second.body), /"not-run"/)
      assert.equal(fleet.plain.calls.length, 1)
      assert.equal(
        (await call(agents[0])).status,
        200,
        'the first connection still works',
      )
      for (const agent of agents) agent.destroy()
      await eventually(async () => (await call()).status === 200)
    }))
})
