import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import * as fc from 'fast-check'
import { CloseReason } from '../closeReason.js'
import {
  type BudgetedConnection,
  type ConnectionBudget,
  createConnectionBudget,
} from '../createConnectionBudget.js'

const BOUNDS = {
  maxConnections: 4,
  maxRequests: 6,
  maxBytes: 200_000,
  maxHeadBytes: 20_000,
}

describe('createConnectionBudget', () => {
  let budget: ConnectionBudget
  let closed: string[]

  beforeEach(() => {
    budget = createConnectionBudget(BOUNDS)
    closed = []
  })

  function open(name: string): BudgetedConnection {
    return budget.open({
      close: (reason) => closed.push(`${name} ${reason}`),
      dropWaiting: () => closed.push(`${name} waiting`),
    })
  }

  it('closes the connection that has waited longest for its first request', () => {
    const names = ['a', 'b', 'c', 'd']
    const [a] = names.map(open)
    a?.beginRequest()
    open('e')
    assert.deepEqual(closed, [`b ${CloseReason.Connections}`])
  })

  it('closes the connection that has been idle longest if all have sent requests', () => {
    for (const connection of ['a', 'b', 'c', 'd'].map(open)) {
      connection.beginRequest()
      connection.endRequest()
    }
    open('e')
    assert.deepEqual(closed, [`a ${CloseReason.Connections}`])
  })

  it('closes a new connection while all others have requests', () => {
    for (const connection of ['a', 'b', 'c', 'd'].map(open))
      connection.beginRequest()
    open('e')
    assert.deepEqual(closed, [`e ${CloseReason.Connections}`])
  })

  // Guards against a small caller that is turned away for what a large one holds.
  it('drops what waits on the connection with most of it, not the request that comes next', () => {
    const [small, large] = [open('small'), open('large')]
    for (let i = 0; i < 6; i += 1) assert.ok(large.beginRequest())
    large.setWaiting(4)
    assert.ok(small.beginRequest())
    assert.deepEqual(closed, ['large waiting'])
    assert.equal(budget.requests, 3)
    assert.equal(large.beginRequest(), false)
  })

  // Guards against connections that are closed while targets work on their requests (LOST, review/6).
  it('refuses a new request rather than close a connection that has others at targets', () => {
    const [a, b, c] = [open('a'), open('b'), open('c')]
    for (const connection of [a, b, a, b, a, b]) {
      assert.ok(connection.beginRequest())
      connection.beginWork()
    }
    assert.equal(c.beginRequest(), false)
    assert.equal(a.beginRequest(), false)
    assert.deepEqual(closed, [])
    a.endRequest()
    assert.ok(c.beginRequest())
  })

  it('closes no connection that has a request at a target for want of memory', () => {
    const [small, large] = [open('small'), open('large')]
    large.beginRequest()
    assert.ok(large.tryAddBytes(160_000))
    large.beginWork()
    small.beginRequest()
    assert.equal(small.tryAddBytes(20_000), false)
    assert.deepEqual(closed, [`small ${CloseReason.Memory}`])
    large.endWork()
    assert.ok(open('new').beginRequest())
    assert.equal(large.tryAddBytes(10_000), false)
    assert.deepEqual(closed.slice(1), [`large ${CloseReason.Memory}`])
  })

  it('closes the connection that uses most memory', () => {
    const [small, large] = [open('small'), open('large')]
    large.beginRequest()
    assert.ok(large.tryAddBytes(160_000))
    small.beginRequest()
    assert.ok(small.tryAddBytes(20_000))
    assert.deepEqual(closed, [`large ${CloseReason.Memory}`])
  })

  it('closes the connection with the largest head that has not ended', () => {
    const [small, large] = [open('small'), open('large')]
    large.setHeadBytes(15_000)
    small.setHeadBytes(5_000)
    small.setHeadBytes(6_000)
    assert.deepEqual(closed, [`large ${CloseReason.Heads}`])
    small.beginRequest()
    open('new').setHeadBytes(20_000)
    assert.equal(closed.length, 1)
  })

  it('stays within its bounds and returns to zero, in whichever order connections open, send and end', () => {
    const steps = fc.array(
      fc.record({
        connection: fc.nat({ max: 7 }),
        step: fc.constantFrom('open', 'begin', 'end', 'bytes', 'close'),
        bytes: fc.nat({ max: 90_000 }),
      }),
      { maxLength: 200 },
    )
    fc.assert(
      fc.property(steps, (played) => {
        const tested = createConnectionBudget(BOUNDS)
        const connections = new Map<number, BudgetedConnection>()
        for (const { connection: index, step, bytes } of played) {
          if (step === 'open' && !connections.has(index))
            connections.set(
              index,
              tested.open({
                close: () => undefined,
                dropWaiting: () => undefined,
              }),
            )
          const connection = connections.get(index)
          if (step === 'begin') connection?.beginRequest()
          if (step === 'end') connection?.endRequest()
          if (step === 'bytes') connection?.tryAddBytes(bytes)
          if (step === 'close') connection?.end()
          assert.ok(tested.connections <= BOUNDS.maxConnections)
          assert.ok(tested.requests <= BOUNDS.maxRequests)
          assert.ok(tested.bytes <= BOUNDS.maxBytes)
        }
        for (const connection of connections.values()) connection.end()
        assert.deepEqual(
          [tested.connections, tested.requests, tested.bytes],
          [0, 0, 0],
        )
      }),
      { seed: 51, numRuns: 300 },
    )
  })
})
