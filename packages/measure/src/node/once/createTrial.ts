import { setTimeout as sleep } from 'node:timers/promises'
import { configurationSchema, createCallerKey } from '@auburnbay/core'
import { formatAddress } from '@auburnbay/http-utils'
import {
  createEngine,
  createLogService,
  createPlainService,
  type LogServiceStandIn,
  type StandIn,
} from '@auburnbay/stand-ins'
import type { CallOutcome } from './callOutcome.js'
import {
  createTrialRouter,
  type TrialRouter,
  type TrialTarget,
  trialServices,
} from './createTrialRouter.js'
import { type Contradiction, findContradictions } from './findContradictions.js'
import {
  CallKind,
  LogFault,
  type Schedule,
  type ScheduledCall,
} from './schedule.js'
import { sendCall } from './sendCall.js'

/** Two routers in front of stand-ins; runs schedules one after another. */
export interface Trial {
  run(schedule: Schedule): Promise<void>
  /** Stops the trial and compares the outcomes with the targets' records. */
  finish(): Promise<TrialResult>
}

/** Outcomes that a trial's callers observed and the contradictions in them. */
export interface TrialResult {
  readonly outcomes: readonly CallOutcome[]
  readonly contradictions: readonly Contradiction[]
}

/** Longer than all timeouts of a trial's routers together. */
const ROUTER_PAUSE_MS = 200
const STOP_DELAY_MS = 12
const SLOW_LOG_DELAY_MS = 60
/** Time in which an abandoned request may still reach its target. */
const SETTLE_MS = 100

const key = createCallerKey('corrib', 'trial')
const configuration = configurationSchema.parse({
  customers: { corrib: { keys: { trial: key.stored } } },
  services: trialServices,
})

function applyLogFault({ faults }: LogServiceStandIn, fault: LogFault): void {
  faults.outage = fault === LogFault.Outage
  faults.silent = fault === LogFault.Silent
  faults.loseReplies = fault === LogFault.LosesReplies ? 2 : 0
  faults.delayMs = fault === LogFault.Slow ? SLOW_LOG_DELAY_MS : 0
}

function toTargets(
  prefix: string,
  standIns: readonly StandIn[],
): TrialTarget[] {
  return standIns.map(({ address }, index) => ({
    id: `${prefix}-${index + 1}`,
    address: formatAddress(address),
  }))
}

/** Starts a trial. `name` makes the markers and keys of its calls unique. */
export async function createTrial(name: string): Promise<Trial> {
  const log = await createLogService()
  const engines = [
    await createEngine({ words: 6 }),
    await createEngine({ words: 6 }),
  ]
  const plain = [await createPlainService(), await createPlainService()]
  const targets = {
    briefing: toTargets('engine', engines),
    charts: toTargets('charts', plain),
  }
  const outcomes: CallOutcome[] = []
  const stopping: Promise<void>[] = []
  let schedulesRun = 0

  function startRouter(index: number): Promise<TrialRouter> {
    const id = `router-${index}`
    return createTrialRouter({ id, logUrl: log.url, configuration, targets })
  }

  const routers = [await startRouter(0), await startRouter(1)]

  async function replaceRouter(index: number): Promise<void> {
    const old = routers[index]
    routers[index] = await startRouter(index)
    if (old) stopping.push(old.stop())
  }

  function applyFaults(schedule: Schedule): void {
    for (const [index, engine] of engines.entries())
      engine.queuedFaults.splice(
        0,
        Infinity,
        ...(schedule.engineFaults[index] ?? []),
      )
    for (const [index, service] of plain.entries())
      service.queuedFaults.splice(
        0,
        Infinity,
        ...(schedule.plainFaults[index] ?? []),
      )
    for (const [index, router] of routers.entries()) {
      router.firstTargetRefuses = schedule.firstTargetRefuses
      router.pauseMs = schedule.pausedRouter === index ? ROUTER_PAUSE_MS : 0
    }
    if (schedule.keepAliveStalls)
      for (const standIn of [...engines, ...plain]) standIn.stallConnections()
    applyLogFault(log, schedule.logFault)
  }

  function send(
    call: ScheduledCall,
    suffix: string,
    nowMs: number,
  ): Promise<CallOutcome> {
    return sendCall({
      call,
      url: routers[call.router]?.url ?? '',
      callerKey: key.text,
      marker: `${name}.${suffix}`,
      idempotencyKey: `${nowMs}.${name}.${schedulesRun}.${call.key}`,
    })
  }

  /** Repeats keyed calls that got no 200 response through the other router. */
  async function repeatKeyedCalls(
    schedule: Schedule,
    first: readonly CallOutcome[],
    nowMs: number,
  ): Promise<CallOutcome[]> {
    const repeats: Promise<CallOutcome>[] = []
    for (const [index, call] of schedule.calls.entries()) {
      if (call.kind !== CallKind.KeyedCall || first[index]?.status === 200)
        continue
      const router = call.router === 0 ? 1 : 0
      // Without the first call's abort and deadline.
      const { kind, key } = call
      const repeated: ScheduledCall = { kind, router, key, startAfterMs: 0 }
      const suffix = `${schedulesRun}.${index}.again`
      repeats.push(send(repeated, suffix, nowMs))
    }
    return Promise.all(repeats)
  }

  async function run(schedule: Schedule): Promise<void> {
    schedulesRun += 1
    applyFaults(schedule)
    const nowMs = Date.now()
    const sent = schedule.calls.map((call, index) =>
      send(call, `${schedulesRun}.${index}`, nowMs),
    )
    const { stoppedRouter } = schedule
    if (stoppedRouter !== undefined) {
      await sleep(STOP_DELAY_MS)
      await replaceRouter(stoppedRouter)
    }
    const first = await Promise.all(sent)
    applyLogFault(log, LogFault.None)
    outcomes.push(...first, ...(await repeatKeyedCalls(schedule, first, nowMs)))
    // An append that a silent log never answers blocks the router's later appends.
    if (schedule.logFault === LogFault.Silent) {
      await replaceRouter(0)
      await replaceRouter(1)
    }
  }

  return {
    run,
    finish: async () => {
      await sleep(SETTLE_MS)
      const record = {
        runs: engines.flatMap((engine) => engine.runs),
        calls: plain.flatMap((service) => service.calls),
      }
      const contradictions = findContradictions(record, outcomes)
      stopping.push(...routers.map((router) => router.stop()))
      await Promise.all(
        [log, ...engines, ...plain].map((standIn) => standIn.close()),
      )
      await Promise.all(stopping)
      return { outcomes, contradictions }
    },
  }
}
