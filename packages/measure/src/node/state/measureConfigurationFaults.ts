import {
  ConfigurationProblemKind,
  createSnapshot,
  moveSnapshot,
} from '@auburnbay/core'
import type { Figure } from '../figure.js'
import { createRandom, type Random } from '../routing/bench/createRandom.js'
import { pickIndex } from '../routing/bench/pickIndex.js'
import { FaultyLog } from './faultyLog.js'
import { NaiveRouter, SimulatedRouter } from './simulatedRouter.js'

const SCHEDULES = 300
const STEPS = 120
const ROUTERS = 5

/** Problems after which an operator moves the newest version to the log. */
const MOVABLE_PROBLEMS: ReadonlySet<ConfigurationProblemKind> = new Set([
  ConfigurationProblemKind.LogReplaced,
  ConfigurationProblemKind.LogShortened,
  ConfigurationProblemKind.LogRewritten,
])

interface ScheduleTotals {
  reverts: number
  naiveReverts: number
  disagreements: number
  highestVersion: number
}

interface Fleet {
  readonly log: FaultyLog
  readonly snapshots: unknown[]
  readonly routers: SimulatedRouter[]
  readonly naive: NaiveRouter
  readonly random: Random
  readonly losesRecords: boolean
  patches: number
  /** Digests of all routers so far, by version. */
  readonly digests: Map<number, Set<string>>
}

function pick<T>(random: Random, items: readonly T[]): T {
  const item = items[Math.floor(random.unit() * items.length)]
  if (item === undefined) throw new Error('cannot pick from an empty list')
  return item
}

function findNewest(fleet: Fleet): SimulatedRouter {
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

/** Moves the newest version to a log that lost it, as an operator does. */
function moveToLog(fleet: Fleet): void {
  const { state } = findNewest(fleet)
  if (!state.problem || !MOVABLE_PROBLEMS.has(state.problem.kind)) return
  const { logId, nextOffset } = fleet.log
  fleet.snapshots.push(moveSnapshot(state, logId, nextOffset, 'measure'))
}

function replaceRouter(fleet: Fleet): void {
  const index = Math.floor(fleet.random.unit() * ROUTERS)
  const replaced = fleet.routers[index]
  if (!replaced || replaced === findNewest(fleet)) return
  const replacement = new SimulatedRouter()
  replacement.reverts = replaced.reverts
  fleet.routers[index] = replacement
  // A new router fetches from its peers first, so it never relies on an emptied log alone.
  replacement.fetchFrom(findNewest(fleet))
}

function loseRecords(fleet: Fleet): void {
  if (fleet.losesRecords) fleet.log.loseNewest(3)
  else {
    // Operators submit no patch until the newest version is on the new log.
    for (const router of fleet.routers) router.partitioned = false
    readAll(fleet)
    fleet.log.replace()
    readAll(fleet)
    moveToLog(fleet)
  }
}

function readAll(fleet: Fleet): void {
  for (const router of fleet.routers) {
    router.readLog(fleet.log, fleet.snapshots)
    router.fetchFrom(findNewest(fleet))
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
    pick(fleet.random, fleet.routers).fetchFrom(
      pick(fleet.random, fleet.routers),
    )
  },
  (fleet) => {
    const router = pick(fleet.random, fleet.routers)
    router.partitioned = !router.partitioned
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

function recordDigests(fleet: Fleet): void {
  for (const { state } of fleet.routers) {
    const digests = fleet.digests.get(state.version) ?? new Set()
    fleet.digests.set(state.version, digests.add(state.digest))
  }
}

function runSchedule(seed: number, losesRecords: boolean): ScheduleTotals {
  const random = createRandom(seed)
  const fleet: Fleet = {
    log: new FaultyLog(),
    snapshots: [],
    routers: Array.from({ length: ROUTERS }, () => new SimulatedRouter()),
    naive: new NaiveRouter(),
    random,
    losesRecords,
    patches: 0,
    digests: new Map(),
  }
  for (let step = 0; step < STEPS; step += 1) {
    EVENTS[pickIndex(random, WEIGHTS)]?.(fleet)
    recordDigests(fleet)
  }
  const differing = [...fleet.digests.values()].filter(({ size }) => size > 1)
  return {
    reverts: fleet.routers.reduce((sum, { reverts }) => sum + reverts, 0),
    naiveReverts: fleet.naive.reverts,
    disagreements: differing.length,
    highestVersion: findNewest(fleet).state.version,
  }
}

function runSchedules(losesRecords: boolean): ScheduleTotals {
  const totals: ScheduleTotals = {
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

/** Counts version reverts and disagreements between routers in seeded fault schedules. */
export function measureConfigurationFaults(): Figure[] {
  const replacedLog = runSchedules(false)
  const shortenedLog = runSchedules(true)
  return [
    {
      measure: 'state.reverts',
      value: replacedLog.reverts + shortenedLog.reverts,
      unit: `reverts in ${2 * SCHEDULES} fault schedules`,
      bound: 0,
      baseline: replacedLog.naiveReverts + shortenedLog.naiveReverts,
    },
    {
      measure: 'state.verdict-disagreements',
      value: replacedLog.disagreements,
      unit: `versions that differ between routers in ${SCHEDULES} fault schedules`,
      bound: 0,
    },
    {
      measure: 'state.disagreements-after-lost-records',
      value: shortenedLog.disagreements,
      unit: `versions that differ in ${SCHEDULES} schedules whose log loses acknowledged records`,
    },
    {
      measure: 'state.highest-version-in-schedules',
      value: Math.max(replacedLog.highestVersion, shortenedLog.highestVersion),
      unit: 'versions',
    },
  ]
}
