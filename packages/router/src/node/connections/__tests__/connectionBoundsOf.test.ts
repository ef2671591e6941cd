import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { connectionBoundsOf, ServerKind } from '../connectionBoundsOf.js'
import { parseDescriptors, readProcessLimits } from '../readProcessLimits.js'

const MIB = 1024 * 1024
/** The smallest VM, with the heap of the deploy file. */
const SMALLEST = {
  descriptors: 4_100,
  memoryBytes: 250 * MIB,
  heapBytes: 100 * MIB,
}

describe('connectionBoundsOf', () => {
  // Guards against connections to targets that fail for want of a descriptor.
  it('leaves descriptors for targets beside the connections of all servers', () => {
    let total = 0
    for (const kind of Object.values(ServerKind))
      total += connectionBoundsOf(kind, SMALLEST).maxConnections
    const { maxRequests } = connectionBoundsOf(ServerKind.Callers, SMALLEST)
    assert.ok(total + maxRequests < 0.8 * SMALLEST.descriptors)
  })

  it('takes bounds of the settings instead', () => {
    const bounds = connectionBoundsOf(ServerKind.Callers, SMALLEST, {
      maxRequests: 5,
    })
    assert.equal(bounds.maxRequests, 5)
    assert.ok(bounds.maxConnections > 1_000)
  })
})

describe('parseDescriptors', () => {
  it('returns the soft limit, unless there is none', () => {
    const line = (soft: string): string =>
      `Limit  Soft Limit  Hard Limit  Units\nMax open files            ${soft}       1048576   files\n`
    assert.equal(parseDescriptors(line('4300')), 4_300)
    assert.equal(parseDescriptors(line('unlimited')), undefined)
  })
})

describe('readProcessLimits', () => {
  // Guards against bounds of 75 connections on a VM that bears 4,200 descriptors (review/6, days of corrib-ice).
  it('takes what the settings state of the VM, whatever the machine of the process allows', () => {
    const limits = readProcessLimits({ descriptors: 4_200, memoryMb: 350 })
    assert.equal(limits.descriptors, 4_200)
    assert.equal(limits.memoryBytes, 350 * MIB)
    assert.ok(readProcessLimits({}).descriptors > 0)
  })
})
