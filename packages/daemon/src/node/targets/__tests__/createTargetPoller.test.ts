import assert from 'node:assert/strict'
import { EventEmitter, once } from 'node:events'
import { describe, it } from 'node:test'
import { createTargetPoller } from '../createTargetPoller.js'

const busy = { id: 'engine-1', address: '127.0.0.1:1' }
const idle = { id: 'engine-2', address: '127.0.0.1:2' }
const ROUNDS = 20

describe('createTargetPoller', () => {
  it('polls idle targets once in ten rounds', async () => {
    const polled: string[] = []
    let rounds = 0
    const events = new EventEmitter()
    const finished = once(events, 'finished')
    const loop = createTargetPoller({
      targets: (includeIdle) => {
        rounds += 1
        if (rounds === ROUNDS) events.emit('finished')
        if (rounds > ROUNDS) return []
        return includeIdle ? [busy, idle] : [busy]
      },
      intervalMs: 1,
      poll: (target) => {
        polled.push(target.id)
        return Promise.resolve()
      },
    })
    await finished
    await loop.stop()
    const idlePolls = polled.filter((id) => id === idle.id).length
    const busyPolls = polled.filter((id) => id === busy.id).length
    assert.deepEqual(
      { idlePolls, busyPolls },
      { idlePolls: 2, busyPolls: ROUNDS },
    )
  })
})
