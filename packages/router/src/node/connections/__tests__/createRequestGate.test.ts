import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { beforeEach, describe, it } from 'node:test'
import {
  createRequestGate,
  MAX_UNANSWERED,
  MAX_UNDER_WAY,
  type RequestGate,
} from '../createRequestGate.js'

describe('createRequestGate', () => {
  let nowMs: number
  let hasRoomAhead: boolean
  let gate: RequestGate
  let events: string[]
  let responses: ServerResponse[]
  let waitedMs: number[]

  beforeEach(() => {
    nowMs = 0
    hasRoomAhead = true
    events = []
    responses = []
    waitedMs = []
    gate = createRequestGate({
      hasRoomAhead: () => hasRoomAhead,
      onWaiting: (count) => events.push(`${count} wait`),
      onExceeded: () => events.push('exceeded'),
      onLast: () => undefined,
      now: () => nowMs,
    })
  })

  function submit(count: number): void {
    for (let i = 0; i < count; i += 1) {
      const res = Object.assign(new EventEmitter(), {
        destroyed: false,
        shouldKeepAlive: true,
      }) as unknown as ServerResponse
      gate.submit(res, (waited) => {
        responses.push(res)
        waitedMs.push(waited)
      })
    }
  }

  it('runs requests in order, a few at a time, and tells how long they waited', () => {
    submit(MAX_UNDER_WAY + 2)
    assert.equal(responses.length, MAX_UNDER_WAY)
    nowMs = 40
    responses[0]?.emit('close')
    assert.equal(responses.length, MAX_UNDER_WAY + 1)
    responses[1]?.emit('close')
    assert.deepEqual(waitedMs.slice(-2), [40, 40])
    assert.deepEqual(events, ['1 wait', '2 wait', '1 wait', '0 wait'])
  })

  it('takes no more requests after too many, and ends the connection with the last one taken', () => {
    submit(MAX_UNANSWERED + 5)
    assert.equal(events.filter((event) => event === 'exceeded').length, 1)
    const waiting = MAX_UNANSWERED - MAX_UNDER_WAY
    assert.deepEqual(events.slice(-2), [`${waiting} wait`, 'exceeded'])
    for (let i = 0; i < MAX_UNANSWERED; i += 1) responses[i]?.emit('close')
    assert.equal(responses.length, MAX_UNANSWERED)
    assert.deepEqual(
      responses.map(({ shouldKeepAlive }) => shouldKeepAlive),
      responses.map((_, i) => i < MAX_UNANSWERED - 1),
    )
  })

  // Guards against requests that go on at targets although their caller has left.
  it('ends requests whose response does not have the connection yet', () => {
    submit(MAX_UNDER_WAY + 2)
    let ended = 0
    for (const res of responses) res.once('close', () => (ended += 1))
    gate.close()
    assert.equal(ended, MAX_UNDER_WAY)
    assert.equal(responses.length, MAX_UNDER_WAY)
  })

  // Guards against clients that send ahead and take the room of those that send one request.
  it('runs one request at a time while there is no room ahead', () => {
    hasRoomAhead = false
    submit(3)
    assert.equal(responses.length, 1)
    responses[0]?.emit('close')
    assert.equal(responses.length, 2)
    hasRoomAhead = true
    responses[1]?.emit('close')
    assert.equal(responses.length, 3)
  })

  it('ends the connection after the requests that run when those that wait are dropped', () => {
    submit(MAX_UNDER_WAY + 2)
    assert.equal(gate.dropWaiting().length, 2)
    submit(1)
    for (const res of responses) res.emit('close')
    assert.equal(responses.length, MAX_UNDER_WAY)
    assert.equal(responses.at(-1)?.shouldKeepAlive, false)
    assert.equal(responses.at(-2)?.shouldKeepAlive, true)
  })

  // Guards against connections that are kept open for a dropped request, after which they were to end.
  it('ends the connection after the requests that run, also if it took no more before', () => {
    submit(MAX_UNANSWERED + 1)
    gate.dropWaiting()
    assert.equal(responses.length, MAX_UNDER_WAY)
    assert.equal(responses.at(-1)?.shouldKeepAlive, false)
  })
})
