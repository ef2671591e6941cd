import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { connectsTo } from '../connectsTo.js'

describe('connectsTo', () => {
  for (const port of [99_999, -1, Infinity])
    it(`resolves to false for port ${port}`, async () => {
      const isConnected = await connectsTo({
        id: 'a',
        service: 'service',
        host: '127.0.0.1',
        port,
        slots: 1,
        softwareVersion: 'v1',
        draining: false,
      })
      assert.equal(isConnected, false)
    })
})
