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
/** Longer than a result is used again. */
const STEP_MS = 100
const PLACES = 30
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
      'engine-1': target(PLACES / 2),
      'engine-2': target(PLACES / 2),
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
  const hear = (id: string, targets: Digest['targets']) => {
    const digest = { targets, customers: {} }
    const heartbeat = { digest } as PeerStatus['heartbeat']
    state.live = state.live.filter((peer) => peer.id !== id)
    state.live.push({ id, heartbeat, ageMs: 0 })
  }
  const at = (afterMs: number) => {
    state.nowMs += afterMs
    return concurrency('briefing')
  }
  return { state, concurrency, hear, at }
}

describe('createServiceConcurrency', () => {
  it('is the share of each router while nobody is heard', () => {
    assert.equal(setUp().at(0), PLACES / 3)
  })

  it('borrows what peers leave, and keeps the own share when they do not', () => {
    const { hear, at } = setUp()
    hear('router-2', { 'engine-1': 2, 'charts-1': 50 })
    hear('router-3', { 'engine-2': 3 })
    assert.equal(at(STEP_MS), PLACES - 5)
    hear('router-2', { 'engine-1': 15, 'engine-2': 10 })
    assert.equal(at(STEP_MS), PLACES / 3)
  })

  it('counts the last use of a peer that left the list, for a while', () => {
    const { state, hear, at } = setUp()
    hear('router-2', {})
    hear('router-3', { 'engine-1': 12 })
    assert.equal(at(STEP_MS), PLACES - 12)
    state.live = state.live.filter(({ id }) => id !== 'router-3')
    state.vms = state.vms.filter(({ id }) => id !== 'router-3')
    assert.equal(at(HOLD_MS - STEP_MS), PLACES - 12)
    assert.equal(at(2 * STEP_MS), PLACES)
  })

  it('leaves out the places of ejected targets', () => {
    const { state, at } = setUp()
    state.ejected.add('engine-1')
    assert.equal(at(STEP_MS), PLACES / 2 / 3)
  })

  it('is the setting where targets have no limit of their own', () => {
    assert.equal(setUp().concurrency('charts'), MAX_IN_FLIGHT)
  })
})
