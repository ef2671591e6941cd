import {
  createCreditPool,
  createGroupCoordinator,
  createGroupRing,
  groupTargets,
  rendezvousOrder,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'

const TARGET_COUNTS = [16, 1_000, 10_000]
const DECISIONS = 20_000
const ROUNDS = 3
/** Factor by which a decision may slow down from 16 to 10,000 targets. */
const MAX_TIME_GROWTH = 4
const IN_FLIGHT_PER_TARGET = 20

function createTargets(count: number) {
  return Array.from({ length: count }, (_, index) => ({
    id: `target-${index}`,
    weight: 1,
  }))
}

/** Creates a service; the returned `decide` makes one complete decision. */
function createService(count: number) {
  const groups = groupTargets('model', createTargets(count))
  const ring = createGroupRing(groups)
  const statesByGroup = new Map(
    groups.map((group) => {
      const coordinator = createGroupCoordinator({ group, router: 'r' })
      const creditPool = createCreditPool({
        group,
        router: 'r',
        incarnation: 'r',
      })
      const [call] = coordinator.update({
        coordinator: 'r',
        routers: ['r'],
        epoch: 0,
        nowMs: 0,
      })
      if (call)
        coordinator.applyCollectResponse(
          creditPool.handleCollectRequest(call.request),
          0,
        )
      for (let index = 0; index < group.members.length; index += 1)
        for (let used = 0; used < IN_FLIGHT_PER_TARGET; used += 1)
          creditPool.addInFlight(index)
      return [group, { coordinator, creditPool }]
    }),
  )
  const context = {
    nowMs: 1,
    maxLoadFactor: 1.25,
    eligible: () => true,
    reported: () => undefined,
  }
  const decide = (chat: string): void => {
    const [group] = ring.groupsOf(chat)
    const state = group && statesByGroup.get(group)
    if (!group || !state) return
    rendezvousOrder(chat, group.members)
    const request = state.creditPool.createGrantRequest(
      [{ key: chat, exclude: [] }],
      1,
    )
    const response = state.coordinator.handleGrantRequest(request, context)
    const granted =
      state.creditPool.applyGrantResponse(request.sequence, response)?.[0] ?? -1
    if (granted >= 0) state.creditPool.removeInFlight(granted)
  }
  return { decide, ringBytes: ring.bytes }
}

function measureSeconds(decide: (chat: string) => void): number {
  let fastestMs = Infinity
  for (let round = 0; round < ROUNDS; round += 1) {
    const startMs = performance.now()
    for (let index = 0; index < DECISIONS; index += 1) decide(`chat-${index}`)
    fastestMs = Math.min(fastestMs, performance.now() - startMs)
  }
  return fastestMs / 1_000
}

/** Measures time and memory of a decision by the number of targets. */
export function measureDecision(): Figure[] {
  const runs = TARGET_COUNTS.map((count) => {
    const { decide, ringBytes } = createService(count)
    return { count, seconds: measureSeconds(decide), ringBytes }
  })
  const [smallest, ...larger] = runs
  const figures: Figure[] = []
  for (const { count, seconds, ringBytes } of larger) {
    figures.push(
      {
        measure: `routing.decision-time-at-${count}-targets`,
        value: seconds / (smallest?.seconds ?? seconds),
        unit: 'x the time at 16 targets',
        bound: MAX_TIME_GROWTH,
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
