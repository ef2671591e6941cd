import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import { DeadlinePassed } from '../../callers/deadlinePassed.js'
import { resolveSettings } from '../../settings/resolveSettings.js'
import { createServiceQueue, type Release } from '../createServiceQueue.js'

const PLACES = 40
const RESERVED = 2
const MAX_WAITING = 3
const LATER_MS = 1_000_000
const SOON_MS = 20

function queueSettings() {
  const listen = { host: '127.0.0.1', port: 0 }
  const secret = 'test-secret-0123456789'
  const settings = resolveSettings({
    router: { id: 'router-1', dataCentre: 'dc-1' },
    listen: { callers: listen, peers: listen, admin: listen },
    logService: { url: 'http://127.0.0.1:1' },
    vmList: { url: 'http://127.0.0.1:1' },
    secrets: { peer: secret, hint: secret, admin: secret },
    queue: { maxWaiting: MAX_WAITING, urgentShare: RESERVED / PLACES },
  })
  return settings._unsafeUnwrap().queue
}

function setUp() {
  const queue = createServiceQueue(queueSettings(), () => 0)
  queue.setConcurrency(PLACES)
  const releases: Release[] = []
  const failures: string[] = []
  const gone = new AbortController()
  let next = 0
  const enter = async (rank: number, deadlineAtMs = LATER_MS) => {
    next += 1
    const request = {
      id: String(next),
      rank,
      customer: 'corrib',
      weight: 1,
      enqueuedAtMs: 0,
      deadlineAtMs,
    }
    const entered = await queue.enter(request, gone.signal)
    if (entered.isOk()) releases.push(entered.value)
    else failures.push(entered.error)
  }
  const enterMany = async (rank: number, count: number) => {
    for (let index = 0; index < count; index += 1) void enter(rank)
    await turn()
  }
  const release = async () => {
    releases.pop()?.()
    await turn()
  }
  return { queue, failures, gone, enter, enterMany, release }
}

describe('createServiceQueue', () => {
  it('keeps places free for rank 0', async () => {
    const { queue, gone, enterMany, release } = setUp()
    await enterMany(5, PLACES)
    assert.equal(queue.running, PLACES - RESERVED)
    assert.equal(queue.waiting, RESERVED)
    await enterMany(0, RESERVED)
    assert.equal(queue.running, PLACES)
    assert.equal(queue.waiting, RESERVED)
    await release()
    assert.equal(queue.running, PLACES - 1)
    await release()
    await release()
    assert.equal(queue.running, PLACES - RESERVED)
    assert.equal(queue.waiting, RESERVED - 1)
    gone.abort()
    await turn()
    assert.equal(queue.waiting, 0)
  })

  it('starts waiting requests when it may run more', async () => {
    const { queue, enterMany } = setUp()
    await enterMany(5, PLACES)
    queue.setConcurrency(PLACES * 2)
    await turn()
    assert.equal(queue.running, PLACES)
    assert.equal(queue.waiting, 0)
  })

  it('stands still while it is held back, more than once over', async () => {
    const { queue, enterMany } = setUp()
    const resume = [queue.holdBack(), queue.holdBack()]
    await enterMany(0, 1)
    resume[0]?.()
    await turn()
    assert.equal(queue.running, 0)
    resume[1]?.()
    await turn()
    assert.equal(queue.running, 1)
  })

  it('tells a request at once that it is shed', async () => {
    const { queue, failures, gone, enterMany } = setUp()
    await enterMany(5, PLACES - RESERVED + MAX_WAITING)
    assert.deepEqual(failures, [])
    await enterMany(9, 1)
    assert.deepEqual(failures, ['shed'])
    await enterMany(4, 1)
    assert.deepEqual(failures, ['shed', 'shed'])
    assert.equal(queue.waiting, MAX_WAITING)
    gone.abort()
    await turn()
  })

  it('tells a passed deadline from a caller that went away', async () => {
    for (const [reason, expected] of [
      [new DeadlinePassed(), 'expired'],
      [undefined, 'caller-gone'],
    ] as const) {
      const { failures, gone, enterMany } = setUp()
      await enterMany(5, PLACES - RESERVED + 1)
      gone.abort(reason)
      await turn()
      assert.deepEqual(failures, [expected])
    }
  })

  it('gives up a request whose longest wait is over', async () => {
    const { queue, failures, gone, enter, enterMany } = setUp()
    await enterMany(5, PLACES - RESERVED + 1)
    await enter(5, SOON_MS)
    assert.deepEqual(failures, ['expired'])
    assert.equal(queue.waiting, 1)
    gone.abort()
    await turn()
  })
})
