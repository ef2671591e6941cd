import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { createRequestQueue } from '../createRequestQueue.js'
import { effectiveRank } from '../effectiveRank.js'
import type { WaitingRequest } from '../waitingRequest.js'
import { NaiveQueue } from './naiveQueue.js'

const AGEING_MS = 100
const HALF_LIFE_MS = 50
const WEIGHTS: Record<string, number> = { a: 1, b: 2, c: 4 }

function request(fields: Partial<WaitingRequest>): WaitingRequest {
  const customer = fields.customer ?? 'a'
  return {
    id: 'r',
    rank: 5,
    weight: WEIGHTS[customer] ?? 1,
    enqueuedAtMs: 0,
    deadlineAtMs: 10_000,
    ...fields,
    customer,
  }
}

enum StepKind {
  Offer = 'offer',
  Take = 'take',
  Remove = 'remove',
}

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(
      StepKind.Offer,
      StepKind.Offer,
      ...Object.values(StepKind),
    ),
    rank: fc.nat(9),
    customer: fc.constantFrom('a', 'b', 'c'),
    deadline: fc.nat(5),
    // Whole half-lives and weights that are powers of 2 keep all shares exact.
    pauseMs: fc.constantFrom(0, HALF_LIFE_MS),
    pick: fc.nat(30),
  }),
  { maxLength: 45 },
)

describe('createRequestQueue', () => {
  it('behaves like a queue that sorts everything at each step', () => {
    const property = fc.property(
      steps,
      fc.integer({ min: 1, max: 8 }),
      (list, capacity) => {
        const queue = createRequestQueue({
          capacity: () => capacity,
          ageingMs: AGEING_MS,
          shareHalfLifeMs: HALF_LIFE_MS,
        })
        const naive = new NaiveQueue(capacity, AGEING_MS, HALF_LIFE_MS)
        let nowMs = 0
        for (const [index, step] of list.entries()) {
          nowMs += step.pauseMs
          if (step.kind === StepKind.Take) {
            assert.equal(queue.dequeue(nowMs)?.id, naive.dequeue(nowMs))
          } else if (step.kind === StepKind.Remove) {
            queue.remove(String(step.pick))
            naive.remove(String(step.pick))
          } else {
            const offered = request({
              id: String(index),
              rank: step.rank,
              customer: step.customer,
              enqueuedAtMs: nowMs,
              deadlineAtMs: nowMs + step.deadline,
            })
            assert.equal(queue.enqueue(offered)[0]?.id, naive.enqueue(offered))
          }
          assert.ok(queue.size <= capacity)
        }
      },
    )
    fc.assert(property, { seed: 41, numRuns: 300 })
  })

  it('never runs a request before one with a lower rank after ageing', () => {
    const property = fc.property(steps, (list) => {
      const queue = createRequestQueue({
        capacity: () => 50,
        ageingMs: AGEING_MS,
        shareHalfLifeMs: HALF_LIFE_MS,
      })
      let nowMs = 0
      for (const [index, step] of list.entries()) {
        nowMs += step.pauseMs
        if (step.kind !== StepKind.Take) {
          queue.enqueue(
            request({ ...step, id: String(index), enqueuedAtMs: nowMs }),
          )
          continue
        }
        const taken = queue.dequeue(nowMs)
        if (!taken) continue
        const rank = effectiveRank(taken, nowMs, AGEING_MS)
        for (const other of queue.requests())
          assert.ok(rank <= effectiveRank(other, nowMs, AGEING_MS))
      }
    })
    fc.assert(property, { seed: 42 })
  })

  it('sheds the least urgent request first, the new one included', () => {
    const queue = createRequestQueue({
      capacity: () => 2,
      ageingMs: AGEING_MS,
      shareHalfLifeMs: HALF_LIFE_MS,
    })
    queue.enqueue(request({ id: 'low', rank: 8 }))
    queue.enqueue(request({ id: 'mid', rank: 5 }))
    assert.equal(queue.enqueue(request({ id: 'top', rank: 0 }))[0]?.id, 'low')
    assert.equal(queue.enqueue(request({ id: 'late', rank: 9 }))[0]?.id, 'late')
    assert.equal(queue.dequeue(0)?.id, 'top')
  })

  it('serves the least urgent rank while urgent requests keep arriving', () => {
    const queue = createRequestQueue({
      capacity: () => 50,
      ageingMs: AGEING_MS,
      shareHalfLifeMs: HALF_LIFE_MS,
    })
    queue.enqueue(request({ id: 'low', rank: 9, customer: 'b' }))
    let nowMs = 0
    let served: string | undefined
    while (served !== 'low' && nowMs < 20 * AGEING_MS) {
      nowMs += 10
      queue.enqueue(
        request({ id: `top-${nowMs}`, rank: 0, enqueuedAtMs: nowMs }),
      )
      served = queue.dequeue(nowMs)?.id
    }
    assert.equal(served, 'low')
    assert.ok(nowMs <= 10 * AGEING_MS)
  })

  it('serves customers by weight while one has most of the queue', () => {
    const queue = createRequestQueue({
      capacity: () => 500,
      ageingMs: 1e9,
      shareHalfLifeMs: 1e9,
    })
    const served = new Map<string, number>()
    for (let index = 0; index < 400; index += 1) {
      const customer = index < 200 ? 'a' : index < 300 ? 'b' : 'c'
      queue.enqueue(
        request({ id: String(index), customer, enqueuedAtMs: index }),
      )
    }
    for (let index = 0; index < 70; index += 1) {
      const customer = queue.dequeue(400)?.customer ?? ''
      served.set(customer, (served.get(customer) ?? 0) + 1)
    }
    assert.deepEqual(Object.fromEntries(served), { a: 10, b: 20, c: 40 })
  })

  it('lets a customer that was idle catch up on the recent past only', () => {
    const shareHalfLifeMs = 1_000
    const queue = createRequestQueue({
      capacity: () => 50_000,
      ageingMs: 1e9,
      shareHalfLifeMs,
    })
    for (let index = 0; index < 20_000; index += 1)
      queue.enqueue(request({ id: `a${index}` }))
    // One request each 10 ms for ten half-lives.
    let nowMs = 0
    for (; nowMs < 10 * shareHalfLifeMs; nowMs += 10) queue.dequeue(nowMs)
    for (let index = 0; index < 1_000; index += 1)
      queue.enqueue(
        request({ id: `d${index}`, customer: 'd', enqueuedAtMs: nowMs }),
      )
    let caughtUp = 0
    while (queue.dequeue(nowMs + 10 * caughtUp)?.customer === 'd') caughtUp += 1
    // The shares meet at half of the other customer's decayed service, which is
    // what it got within one mean lifetime.
    const meanLifeMs = shareHalfLifeMs / Math.LN2
    assert.ok(caughtUp > 0)
    assert.ok(caughtUp <= meanLifeMs / 10)
  })

  it('sheds the customer above its share, not one that returns', () => {
    const queue = createRequestQueue({
      capacity: () => 4,
      ageingMs: 1e9,
      shareHalfLifeMs: 1e9,
    })
    for (let index = 0; index < 20; index += 1) {
      queue.enqueue(request({ id: `a${index}` }))
      queue.dequeue(0)
    }
    queue.enqueue(request({ id: 'surge' }))
    for (const id of ['d1', 'd2', 'd3', 'd4']) {
      const shed = queue.enqueue(request({ id, customer: 'd' }))
      assert.deepEqual(
        shed.map(({ id: shedId }) => shedId),
        id === 'd4' ? ['surge'] : [],
      )
    }
  })
})
