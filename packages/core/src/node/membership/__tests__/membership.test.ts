import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { FLAP_BASE_HOLD_MS, DEPARTURE_TTL_MS } from '../constants.js'
import { createPeerLiveness } from '../createPeerLiveness.js'
import { MemberState } from '../memberState.js'
import { type VmEntry, VmRole } from '../vmEntry.js'
import {
  applyVmList,
  createMembershipView,
  currentVms,
  applyReportedDepartures,
  departureAges,
  type MembershipView,
} from '../membershipView.js'

function target(id: string, state = MemberState.Live): VmEntry {
  return { id, role: VmRole.Target, address: 'x:1', dataCentre: 'a', state }
}

function stateOf(view: MembershipView, id: string, nowMs: number) {
  return currentVms(view, nowMs).find((vm) => vm.id === id)?.state
}

const six = ['a', 'b', 'c', 'd', 'e', 'f'].map((id) => target(id))

describe('membership view', () => {
  it('keeps VMs and reports them as held when over half vanish at once', () => {
    const before = applyVmList(createMembershipView(), six, 0)
    const empty = applyVmList(before, [], 1_000)
    assert.equal(currentVms(empty, 1_000).length, 6)
    assert.equal(empty.held.length, 6)
    assert.equal(stateOf(empty, 'a', 1_000), MemberState.Live)
    const back = applyVmList(empty, six, 2_000)
    assert.deepEqual(back.held, [])
    assert.equal(stateOf(back, 'a', 2_000), MemberState.Live)
  })

  it('shows a target that vanished as leaving', () => {
    const before = applyVmList(createMembershipView(), six, 0)
    const view = applyVmList(before, six.slice(1), 1_000)
    assert.equal(stateOf(view, 'a', 1_000), MemberState.Leaving)
    assert.equal(departureAges(view, 1_000).a, 0)
  })

  it('doubles the hold of a flapping target each time', () => {
    const gone = [target('a', MemberState.Leaving), ...six.slice(1)]
    let view = applyVmList(createMembershipView(), six, 0)
    for (const [round, holdMs] of [3_000, 6_000, 12_000].entries()) {
      const atMs = round * 20_000
      view = applyVmList(view, gone, atMs)
      view = applyVmList(view, six, atMs + 1_000)
      const endMs = atMs + 1_000 + holdMs
      assert.equal(stateOf(view, 'a', endMs - 1), MemberState.Leaving)
      assert.equal(stateOf(view, 'a', endMs), MemberState.Live)
    }
    assert.equal(FLAP_BASE_HOLD_MS, 3_000)
  })

  it('shows an unlisted target live again after its departure expired', () => {
    const view = applyReportedDepartures(createMembershipView(), { x: 0 }, 0)
    assert.equal(stateOf(view, 'x', DEPARTURE_TTL_MS), MemberState.Leaving)
    const later = applyReportedDepartures(view, {}, DEPARTURE_TTL_MS + 1)
    assert.equal(stateOf(later, 'x', DEPARTURE_TTL_MS + 1), MemberState.Live)
  })

  it('does not let routers keep a departure alive by reporting it to each other', () => {
    let left = applyVmList(createMembershipView(), six, 0)
    let right = applyReportedDepartures(left, { a: 0 }, 0)
    for (let nowMs = 500; nowMs <= 2 * DEPARTURE_TTL_MS; nowMs += 500) {
      left = applyReportedDepartures(left, departureAges(right, nowMs), nowMs)
      right = applyReportedDepartures(right, departureAges(left, nowMs), nowMs)
    }
    assert.equal(stateOf(left, 'a', 2 * DEPARTURE_TTL_MS), MemberState.Live)
    assert.equal(stateOf(right, 'a', 2 * DEPARTURE_TTL_MS), MemberState.Live)
  })

  it('never shows a target as live that the newest list shows as leaving', () => {
    const entry = fc
      .tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean())
      .map(([id, leaves]) =>
        target(id, leaves ? MemberState.Leaving : MemberState.Live),
      )
    const lists = fc.array(fc.array(entry, { maxLength: 4 }), { maxLength: 12 })
    const property = fc.property(lists, (all) => {
      let view = createMembershipView()
      for (const [index, list] of all.entries()) {
        view = applyVmList(view, list, index * 700)
        for (const vm of list) {
          if (vm.state !== MemberState.Leaving) continue
          assert.equal(stateOf(view, vm.id, index * 700), MemberState.Leaving)
        }
      }
    })
    fc.assert(property, { seed: 11, numRuns: 1_000 })
  })
})

describe('createPeerLiveness', () => {
  it('returns the newest incarnation of a router and reports duplicates', () => {
    const liveness = createPeerLiveness<string>(2_000)
    liveness.recordHeartbeat('r', '2', 'new', 0)
    liveness.recordHeartbeat('r', '1', 'old', 100)
    assert.equal(liveness.livePeers(100)[0]?.heartbeat, 'new')
    assert.deepEqual(liveness.findDuplicates(100), ['r'])
    liveness.recordHeartbeat('r', '2', 'new', 2_500)
    assert.deepEqual(liveness.findDuplicates(2_500), [])
  })

  it('does not count a pause of its own process against its peers', () => {
    const liveness = createPeerLiveness<string>(2_000)
    liveness.tick(0)
    liveness.recordHeartbeat('r', '1', 'x', 0)
    liveness.tick(60_000)
    assert.equal(liveness.livePeers(60_000).length, 1)
    for (let nowMs = 60_500; nowMs <= 63_000; nowMs += 500) liveness.tick(nowMs)
    assert.equal(liveness.livePeers(63_000).length, 0)
  })
})
