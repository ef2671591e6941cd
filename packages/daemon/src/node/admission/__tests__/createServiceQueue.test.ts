import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { DeadlinePassed } from '../../callers/deadlinePassed.js'
import { resolveSettings } from '../../settings/resolveSettings.js'
import { createServiceQueue, type Release } from '../createServiceQueue.js'

const CONCURRENCY = 40
const RESERVED = 2
const MAX_WAITING = 3
const FAR_DEADLINE_MS = 1_000_000
const NEAR_DEADLINE_MS = 20

function queueSettings() {
  const listen = { host: '127.0.0.1', port: 0 }
  const secret = 'test-secret-0123456789'
  const settings = resolveSettings({
    router: { id: 'router-1', dataCentre: 'dc-1' },
    listen: { callers: listen, peers: listen, admin: listen },
    logService: { url: 'http://127.0.0.1:1' },
    vmList: { url: 'http://127.0.0.1:1' },
    secrets: { peer: secret, hint: secret, admin: secret },
    queue: { maxWaiting: MAX_WAITING, urgentShare: RESERVED / CONCURRENCY },
  })
  return settings._unsafeUnwrap().queue
}

function setUp() {
  const queue = createServiceQueue(queueSettings(), () => 0)
  queue.setConcurrency(CONCURRENCY)
  const releases: Release[] = []
  const failures: string[] = []
  const caller = new AbortController()
  let next = 0
  const enqueue = async (rank: number, deadlineAtMs = FAR_DEADLINE_MS) => {
    next += 1
    const request = {
      id: String(next),
      rank,
      customer: 'corrib',
      weight: 1,
      enqueuedAtMs: 0,
      deadlineAtMs,
    }
    const queued = await queue.enqueue(request, caller.signal)
    if (queued.isOk()) releases.push(queued.value)
    else failures.push(queued.error)
  }
  const enqueueMany = async (rank: number, count: number) => {
    for (let index = 0; index < count; index += 1) void enqueue(rank)
    await nextTurn()
  }
  const release = async () => {
    releases.pop()?.()
    await nextTurn()
  }
  return { queue, failures, caller, enqueue, enqueueMany, release }
}

describe('createServiceQueue', () => {
  it('reserves slots for rank 0', async () => {
    const { queue, caller, enqueueMany, release } = setUp()
    await enqueueMany(5, CONCURRENCY)
    assert.equal(queue.running, CONCURRENCY - RESERVED)
    assert.equal(queue.waiting, RESERVED)
    await enqueueMany(0, RESERVED)
    assert.equal(queue.running, CONCURRENCY)
    assert.equal(queue.waiting, RESERVED)
    await release()
    assert.equal(queue.running, CONCURRENCY - 1)
    await release()
    await release()
    assert.equal(queue.running, CONCURRENCY - RESERVED)
    assert.equal(queue.waiting, RESERVED - 1)
    caller.abort()
    await nextTurn()
    assert.equal(queue.waiting, 0)
  })

  it('starts queued requests when the concurrency rises', async () => {
    const { queue, enqueueMany } = setUp()
    await enqueueMany(5, CONCURRENCY)
    queue.setConcurrency(CONCURRENCY * 2)
    await nextTurn()
    assert.equal(queue.running, CONCURRENCY)
    assert.equal(queue.waiting, 0)
  })

  it('starts nothing until every pause has ended', async () => {
    const { queue, enqueueMany } = setUp()
    const resume = [queue.pause(), queue.pause()]
    await enqueueMany(0, 1)
    resume[0]?.()
    await nextTurn()
    assert.equal(queue.running, 0)
    resume[1]?.()
    await nextTurn()
    assert.equal(queue.running, 1)
  })

  it('rejects a shed request at once', async () => {
    const { queue, failures, caller, enqueueMany } = setUp()
    await enqueueMany(5, CONCURRENCY - RESERVED + MAX_WAITING)
    assert.deepEqual(failures, [])
    await enqueueMany(9, 1)
    assert.deepEqual(failures, ['shed'])
    await enqueueMany(4, 1)
    assert.deepEqual(failures, ['shed', 'shed'])
    assert.equal(queue.waiting, MAX_WAITING)
    caller.abort()
    await nextTurn()
  })

  it('distinguishes a passed deadline from a disconnected caller', async () => {
    for (const [reason, expected] of [
      [new DeadlinePassed(), 'expired'],
      [undefined, 'caller-gone'],
    ] as const) {
      const { failures, caller, enqueueMany } = setUp()
      await enqueueMany(5, CONCURRENCY - RESERVED + 1)
      caller.abort(reason)
      await nextTurn()
      assert.deepEqual(failures, [expected])
    }
  })

  it('rejects a request whose deadline passes in the queue', async () => {
    const { queue, failures, caller, enqueue, enqueueMany } = setUp()
    await enqueueMany(5, CONCURRENCY - RESERVED + 1)
    await enqueue(5, NEAR_DEADLINE_MS)
    assert.deepEqual(failures, ['expired'])
    assert.equal(queue.waiting, 1)
    caller.abort()
    await nextTurn()
  })
})
