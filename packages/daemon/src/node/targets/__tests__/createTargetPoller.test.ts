import assert from 'node:assert/strict'
import { EventEmitter, once } from 'node:events'
import { describe, it } from 'node:test'
import { createTargetPoller } from '../createTargetPoller.js'

const busy = { id: 'engine-1', address: '127.0.0.1:1' }
const resting = { id: 'engine-2', address: '127.0.0.1:2' }
const ROUNDS = 20

describe('polling targets', () => {
  it('asks those at rest once in ten rounds', async () => {
    const asked: string[] = []
    let rounds = 0
    const events = new EventEmitter()
    const played = once(events, 'played')
    const loop = createTargetPoller({
      targets: (all) => {
        rounds += 1
        if (rounds === ROUNDS) events.emit('played')
        if (rounds > ROUNDS) return []
        return all ? [busy, resting] : [busy]
      },
      intervalMs: 1,
      poll: (target) => {
        asked.push(target.id)
        return Promise.resolve()
      },
    })
    await played
    await loop.stop()
    const rests = asked.filter((id) => id === resting.id).length
    const works = asked.filter((id) => id === busy.id).length
    assert.deepEqual({ rests, works }, { rests: 2, works: ROUNDS })
  })
})
