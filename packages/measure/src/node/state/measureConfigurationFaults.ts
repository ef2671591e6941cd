import {
  ConfigurationProblemKind,
  createSnapshot,
  moveSnapshot,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'
import { createRandom, type Random } from '../routing/bench/createRandom.js'
import { FaultyLog } from './faultyLog.js'
import { NaiveRouter, ScheduledRouter } from './scheduledRouter.js'

const SCHEDULES = 300
const STEPS = 120
const ROUTERS = 5

const MOVABLE: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
])

interface Totals {
  reverts: number
  naiveReverts: number
  disagreements: number
  highestVersion: number
}

interface Fleet {
  readonly log: FaultyLog
  readonly snapshots: unknown[]
  readonly routers: ScheduledRouter[]
  readonly naive: NaiveRouter
  readonly random: Random
  readonly losesRecords: boolean
  patches: number
  /** Digests seen, by version. */
  readonly digests: Map<number, Set<string>>
}

function pick<T>(random: Random, items: readonly T[]): T {
  const item = items[Math.floor(random.unit() * items.length)]
  if (item === undefined) throw new Error('nothing to pick from')
  return item
}

function newest(fleet: Fleet): ScheduledRouter {
  return fleet.routers.reduce((best, router) =>
    router.state.version > best.state.version ? router : best,
  )
}

function appendPatch(fleet: Fleet): void {
  const { state } = pick(fleet.random, fleet.routers)
  fleet.patches += 1
  fleet.log.append({
    type: 'patch',
    schema: 1,
    patchId: `p-${fleet.patches}`,
    baseVersion: state.version,
    author: 'measure',
    operations: [
      { op: 'replace', path: '/defaultRank', value: fleet.patches % 10 },
    ],
  })
}

function writeSnapshot(fleet: Fleet): void {
  const { state } = pick(fleet.random, fleet.routers)
  if (!state.problem) fleet.snapshots.push(createSnapshot(state))
}

/** An operator carries the newest version over to a log that lost it. */
function moveToLog(fleet: Fleet): void {
  const { state } = newest(fleet)
  if (!state.problem || !MOVABLE.has(state.problem.kind)) return
  const { logId, nextOffset } = fleet.log
  fleet.snapshots.push(moveSnapshot(state, logId, nextOffset, 'measure'))
}

function replaceRouter(fleet: Fleet): void {
  const index = Math.floor(fleet.random.unit() * ROUTERS)
  const leaver = fleet.routers[index]
  if (!leaver || leaver === newest(fleet)) return
  const joiner = new ScheduledRouter()
  joiner.reverts = leaver.reverts
  fleet.routers[index] = joiner
  // A joiner asks its peers first, so it never trusts an emptied log alone.
  joiner.follow(newest(fleet))
}

function loseRecords(fleet: Fleet): void {
  if (fleet.losesRecords) fleet.log.shorten(3)
  else {
    // An operator's patch waits until the version stands on the new log.
    for (const router of fleet.routers) router.parted = false
    readAll(fleet)
    fleet.log.replace()
    readAll(fleet)
    moveToLog(fleet)
  }
}

function readAll(fleet: Fleet): void {
  for (const router of fleet.routers) {
    router.readLog(fleet.log, fleet.snapshots)
    router.follow(newest(fleet))
  }
  fleet.naive.readLog(fleet.log)
}

const EVENTS: readonly ((fleet: Fleet) => void)[] = [
  appendPatch,
  (fleet) => {
    appendPatch(fleet)
    appendPatch(fleet)
  },
  (fleet) => {
    const router = pick(fleet.random, fleet.routers)
    router.readLog(fleet.log, fleet.snapshots)
  },
  readAll,
  (fleet) => {
    pick(fleet.random, fleet.routers).follow(pick(fleet.random, fleet.routers))
  },
  (fleet) => {
    const router = pick(fleet.random, fleet.routers)
    router.parted = !router.parted
  },
  writeSnapshot,
  replaceRouter,
  (fleet) => {
    fleet.log.trim(2)
  },
  loseRecords,
  moveToLog,
]
const WEIGHTS = [0.25, 0.1, 0.2, 0.1, 0.1, 0.08, 0.06, 0.04, 0.04, 0.015, 0.015]

function pickEvent(random: Random): number {
  let left = random.unit()
  for (const [index, weight] of WEIGHTS.entries()) {
    left -= weight
    if (left < 0) return index
  }
  return WEIGHTS.length - 1
}

function recordDigests(fleet: Fleet): void {
  for (const { state } of fleet.routers) {
    const seen = fleet.digests.get(state.version) ?? new Set()
    fleet.digests.set(state.version, seen.add(state.digest))
  }
}

function runSchedule(seed: number, losesRecords: boolean): Totals {
  const random = createRandom(seed)
  const fleet: Fleet = {
    log: new FaultyLog(),
    snapshots: [],
    routers: Array.from({ length: ROUTERS }, () => new ScheduledRouter()),
    naive: new NaiveRouter(),
    random,
    losesRecords,
    patches: 0,
    digests: new Map(),
  }
  for (let step = 0; step < STEPS; step += 1) {
    EVENTS[pickEvent(random)]?.(fleet)
    recordDigests(fleet)
  }
  const differing = [...fleet.digests.values()].filter(({ size }) => size > 1)
  return {
    reverts: fleet.routers.reduce((sum, { reverts }) => sum + reverts, 0),
    naiveReverts: fleet.naive.reverts,
    disagreements: differing.length,
    highestVersion: newest(fleet).state.version,
  }
}

function runAll(losesRecords: boolean): Totals {
  const totals: Totals = {
    reverts: 0,
    naiveReverts: 0,
    disagreements: 0,
    highestVersion: 0,
  }
  for (let seed = 1; seed <= SCHEDULES; seed += 1) {
    const run = runSchedule(seed, losesRecords)
    totals.reverts += run.reverts
    totals.naiveReverts += run.naiveReverts
    totals.disagreements += run.disagreements
    totals.highestVersion = Math.max(totals.highestVersion, run.highestVersion)
  }
  return totals
}

/** Versions that went back or differed over seeded fault schedules. */
export function measureConfigurationFaults(): Figure[] {
  const replaced = runAll(false)
  const shortened = runAll(true)
  return [
    {
      measure: 'state.reverts',
      value: replaced.reverts + shortened.reverts,
      unit: `reverts in ${2 * SCHEDULES} fault schedules`,
      bound: 0,
      baseline: replaced.naiveReverts + shortened.naiveReverts,
    },
    {
      measure: 'state.verdict-disagreements',
      value: replaced.disagreements,
      unit: `versions that differ between routers in ${SCHEDULES} fault schedules`,
      bound: 0,
    },
    {
      measure: 'state.disagreements-after-lost-records',
      value: shortened.disagreements,
      unit: `versions that differ in ${SCHEDULES} schedules whose log loses acknowledged records`,
    },
    {
      measure: 'state.highest-version-in-schedules',
      value: Math.max(replaced.highestVersion, shortened.highestVersion),
      unit: 'versions',
    },
  ]
}
