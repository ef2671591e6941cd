import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { TARGET_HEADER } from '@auburnbay/core'
import { callChat } from '../../__tests__/callApi.js'
import { startFleet } from '../../__tests__/startFleet.js'

const CHATS = 12

describe('a target that an operator drains', () => {
  it('gets no new requests, not even of chats that it served, until draining ends', async () => {
    const fleet = await startFleet({ engines: 2 })
    const path = '/targets/engine-1/draining'
    const targetsOfChats = async (): Promise<Set<unknown>> => {
      const targets = new Set<unknown>()
      for (let chat = 0; chat < CHATS; chat += 1) {
        const { callerKey } = fleet
        const response = await callChat(
          fleet.callerUrl(),
          callerKey,
          `c-${chat}`,
        )
        assert.equal(response.status, 200)
        targets.add(response.headers[TARGET_HEADER])
      }
      return targets
    }
    try {
      assert.equal((await targetsOfChats()).size, 2)
      await fleet.patch([{ op: 'add', path, value: true }], 1)
      assert.deepEqual([...(await targetsOfChats())], ['engine-2'])
      await fleet.patch([{ op: 'remove', path }], 2)
      assert.equal((await targetsOfChats()).size, 2)
    } finally {
      await fleet.stop()
    }
  })
})
