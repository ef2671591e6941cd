import assert from 'node:assert/strict'
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { IDEMPOTENT_HEADER } from '@auburnbay/core'
import { callChat } from '../../__tests__/callApi.js'
import { eventually, startFleet } from '../../__tests__/startFleet.js'

describe('metrics of limits, retries and ejection', () => {
  it('are sent to the StatsD address', async () => {
    const statsd = createSocket('udp4')
    let text = ''
    statsd.on('message', (datagram) => {
      text += `${datagram.toString()}\n`
    })
    statsd.bind(0, '127.0.0.1')
    await once(statsd, 'listening')
    const { port } = statsd.address()
    const fleet = await startFleet({
      engines: 2,
      settings: {
        metrics: { host: '127.0.0.1', port },
        health: { consecutiveFailures: 1 },
        retries: { reserve: 1, ratio: 0 },
      },
    })
    const call = (headers: Record<string, string> = {}) =>
      callChat(fleet.callerUrl(), fleet.callerKey, 'chat', headers)
    for (const engine of fleet.engines) engine.faults.resetAfter = true
    for (let index = 0; index < 3; index += 1) await call()
    for (const engine of fleet.engines) engine.faults.resetAfter = false
    const rate = { op: 'add', path: '/customers/corrib/ratePerS', value: 0.05 }
    await fleet.patch([rate], 1)
    await call({ [IDEMPOTENT_HEADER]: 'false' })
    await call()
    const names = [
      'queue.wait',
      'queue.waiting',
      'limits.refused',
      'retries',
      'retries.refused',
      'targets.ejected',
    ]
    await eventually(() =>
      names.every((name) => text.includes(`auburnbay.${name}:`)),
    )
    assert.match(text, /limits\.refused:1\|c\|.*customer:corrib/)
    assert.match(text, /limits\.refused:1\|c\|.*limit:rate/)
    await fleet.stop()
    statsd.close()
  })
})
