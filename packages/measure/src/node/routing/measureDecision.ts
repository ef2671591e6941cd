import {
  createCreditPool,
  createGroupCoordinator,
  createGroupRing,
  groupTargets,
  rendezvousOrder,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'

const SIZES = [16, 1_000, 10_000]
const DECISIONS = 20_000
const ROUNDS = 3
/** Growth of a decision's time from 16 to 10,000 targets that is allowed. */
const GROWTH_BOUND = 4
const IN_FLIGHT_EACH = 20

function targetsOf(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    id: `target-${index}`,
    weight: 1,
  }))
}

/** Prepares a service; the function returned takes one whole decision. */
function prepare(count: number) {
  const groups = groupTargets('model', targetsOf(count))
  const ring = createGroupRing(groups)
  const parts = new Map(
    groups.map((group) => {
      const home = createGroupCoordinator({ group, router: 'r' })
      const holder = createCreditPool({ group, router: 'r', incarnation: 'r' })
      const [call] = home.update({
        coordinator: 'r',
        routers: ['r'],
        epoch: 0,
        nowMs: 0,
      })
      if (call)
        home.applyCollectResponse(holder.handleCollectRequest(call.request), 0)
      for (let index = 0; index < group.members.length; index += 1)
        for (let used = 0; used < IN_FLIGHT_EACH; used += 1)
          holder.addInFlight(index)
      return [group, { home, holder }]
    }),
  )
  const view = {
    nowMs: 1,
    maxLoadFactor: 1.25,
    eligible: () => true,
    reported: () => undefined,
  }
  const decide = (chat: string): void => {
    const [group] = ring.groupsOf(chat)
    const part = group && parts.get(group)
    if (!group || !part) return
    rendezvousOrder(chat, group.members)
    const ask = part.holder.createGrantRequest([{ key: chat, exclude: [] }], 1)
    const reply = part.home.handleGrantRequest(ask, view)
    const granted =
      part.holder.applyGrantResponse(ask.sequence, reply)?.[0] ?? -1
    if (granted >= 0) part.holder.removeInFlight(granted)
  }
  return { decide, ringBytes: ring.bytes }
}

function secondsOf(decide: (chat: string) => void): number {
  let best = Infinity
  for (let round = 0; round < ROUNDS; round += 1) {
    const startMs = performance.now()
    for (let index = 0; index < DECISIONS; index += 1) decide(`chat-${index}`)
    best = Math.min(best, performance.now() - startMs)
  }
  return best / 1_000
}

/** Time and memory of a decision as targets grow. */
export function measureDecision(): Figure[] {
  const runs = SIZES.map((count) => {
    const { decide, ringBytes } = prepare(count)
    return { count, seconds: secondsOf(decide), ringBytes }
  })
  const [small, ...larger] = runs
  const figures: Figure[] = []
  for (const { count, seconds, ringBytes } of larger) {
    figures.push(
      {
        measure: `routing.decision-time-at-${count}-targets`,
        value: seconds / (small?.seconds ?? seconds),
        unit: 'x the time at 16 targets',
        bound: GROWTH_BOUND,
        timing: true,
      },
      {
        measure: `routing.ring-memory-at-${count}-targets`,
        value: ringBytes / count,
        unit: 'bytes a target',
      },
    )
  }
  return figures
}
