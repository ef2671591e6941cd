import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  configurationSchema,
  MemberState,
  ServiceKind,
  type VmEntry,
  VmRole,
} from '@auburnbay/core'
import type { PeerStatus } from '../../membership/createMembership.js'
import type { Digest } from '../../peers/heartbeat.js'
import { createFleetUsage } from '../createFleetUsage.js'
import { createServiceConcurrency } from '../createServiceConcurrency.js'

const STALE_MS = 750
const HOLD_MS = 10_000
/** Longer than the lifetime of a cached result. */
const STEP_MS = 100
const CAPACITY = 30
const MAX_IN_FLIGHT = 200

function vm(id: string): VmEntry {
  const { Live } = MemberState
  const address = '127.0.0.1:1'
  return { id, role: VmRole.Router, address, dataCentre: 'dc-1', state: Live }
}

function target(maxInFlight?: number, service = 'briefing') {
  return { service, address: '127.0.0.1:1', dataCentre: 'dc-1', maxInFlight }
}

function configurationOf(targets: Record<string, unknown>) {
  const services = {
    briefing: { kind: ServiceKind.Model },
    charts: { kind: ServiceKind.Plain },
  }
  return configurationSchema.parse({ services, targets })
}

function setUp() {
  const state = {
    nowMs: 0,
    vms: ['router-1', 'router-2', 'router-3'].map(vm),
    live: [] as PeerStatus[],
    ejected: new Set<string>(),
    cfg: configurationOf({
      'engine-1': target(CAPACITY / 2),
      'engine-2': target(CAPACITY / 2),
      'charts-1': target(undefined, 'charts'),
    }),
  }
  const now = () => state.nowMs
  const usage = createFleetUsage({
    router: 'router-1',
    holdMs: HOLD_MS,
    membership: () => ({ livePeers: () => state.live }),
    vms: () => state.vms,
    now,
  })
  const concurrency = createServiceConcurrency({
    router: 'router-1',
    staleMs: STALE_MS,
    holdMs: HOLD_MS,
    settings: { maxInFlight: MAX_IN_FLIGHT } as never,
    configuration: () => state.cfg,
    eligible: (id) => !state.ejected.has(id),
    usage,
    now,
  })
  const receiveDigest = (id: string, targets: Digest['targets']) => {
    const digest = { targets, customers: {} }
    const heartbeat = { digest } as PeerStatus['heartbeat']
    state.live = state.live.filter((peer) => peer.id !== id)
    state.live.push({ id, heartbeat, ageMs: 0 })
  }
  const concurrencyAfter = (afterMs: number) => {
    state.nowMs += afterMs
    return concurrency('briefing')
  }
  return { state, concurrency, receiveDigest, concurrencyAfter }
}

describe('createServiceConcurrency', () => {
  it('returns the share of the router before any digest arrives', () => {
    assert.equal(setUp().concurrencyAfter(0), CAPACITY / 3)
  })

  it('uses capacity that peers leave unused, and never less than its own share', () => {
    const { receiveDigest, concurrencyAfter } = setUp()
    receiveDigest('router-2', { 'engine-1': 2, 'charts-1': 50 })
    receiveDigest('router-3', { 'engine-2': 3 })
    assert.equal(concurrencyAfter(STEP_MS), CAPACITY - 5)
    receiveDigest('router-2', { 'engine-1': 15, 'engine-2': 10 })
    assert.equal(concurrencyAfter(STEP_MS), CAPACITY / 3)
  })

  it('counts the last usage of a peer that left the VM list until the hold time ends', () => {
    const { state, receiveDigest, concurrencyAfter } = setUp()
    receiveDigest('router-2', {})
    receiveDigest('router-3', { 'engine-1': 12 })
    assert.equal(concurrencyAfter(STEP_MS), CAPACITY - 12)
    state.live = state.live.filter(({ id }) => id !== 'router-3')
    state.vms = state.vms.filter(({ id }) => id !== 'router-3')
    assert.equal(concurrencyAfter(HOLD_MS - STEP_MS), CAPACITY - 12)
    assert.equal(concurrencyAfter(2 * STEP_MS), CAPACITY)
  })

  it('excludes the capacity of ejected targets', () => {
    const { state, concurrencyAfter } = setUp()
    state.ejected.add('engine-1')
    assert.equal(concurrencyAfter(STEP_MS), CAPACITY / 2 / 3)
  })

  it('returns the configured maximum when targets have no limit', () => {
    assert.equal(setUp().concurrency('charts'), MAX_IN_FLIGHT)
  })
})
