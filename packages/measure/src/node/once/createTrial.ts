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
  createRouter,
  type TrialRouter,
  type TrialTarget,
  trialServices,
} from './createRouter.js'
import { type Contradiction, findContradictions } from './findContradictions.js'
import {
  CallKind,
  LogFault,
  type Schedule,
  type ScheduledCall,
} from './schedule.js'
import { sendCall } from './sendCall.js'

/** Two routers before stand-ins, used for one schedule after another. */
export interface Trial {
  run(schedule: Schedule): Promise<void>
  /** Ends it and holds what was told against what ran. */
  finish(): Promise<TrialResult>
}

/** What a trial's callers were told and what speaks against it. */
export interface TrialResult {
  readonly outcomes: readonly CallOutcome[]
  readonly contradictions: readonly Contradiction[]
}

/** Longer than every limit of a trial's routers together. */
const PAUSE_MS = 200
const STOP_AFTER_MS = 12
const SLOW_LOG_MS = 60
/** Milliseconds in which a request that was given up may still arrive. */
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
  faults.delayMs = fault === LogFault.Slow ? SLOW_LOG_MS : 0
}

function named(prefix: string, standIns: readonly StandIn[]): TrialTarget[] {
  return standIns.map(({ address }, index) => ({
    id: `${prefix}-${index + 1}`,
    address: formatAddress(address),
  }))
}

/** Starts a trial; `name` keeps its calls apart from other trials'. */
export async function createTrial(name: string): Promise<Trial> {
  const log = await createLogService()
  const engines = [
    await createEngine({ words: 6 }),
    await createEngine({ words: 6 }),
  ]
  const plain = [await createPlainService(), await createPlainService()]
  const targets = {
    briefing: named('engine', engines),
    charts: named('charts', plain),
  }
  const outcomes: CallOutcome[] = []
  const stops: Promise<void>[] = []
  let schedules = 0

  function startRouter(index: number): Promise<TrialRouter> {
    const id = `router-${index}`
    return createRouter({ id, logUrl: log.url, configuration, targets })
  }

  const routers = [await startRouter(0), await startRouter(1)]

  async function replaceRouter(index: number): Promise<void> {
    const old = routers[index]
    routers[index] = await startRouter(index)
    if (old) stops.push(old.stop())
  }

  function applyFaults(schedule: Schedule): void {
    for (const [index, engine] of engines.entries())
      engine.queuedFaults.splice(
        0,
        Infinity,
        ...(schedule.engines[index] ?? []),
      )
    for (const [index, service] of plain.entries())
      service.queuedFaults.splice(0, Infinity, ...(schedule.plain[index] ?? []))
    for (const [index, router] of routers.entries()) {
      router.refusedFirst = schedule.refusedFirst
      router.pauseMs = schedule.pausedRouter === index ? PAUSE_MS : 0
    }
    if (schedule.keptGoSilent)
      for (const standIn of [...engines, ...plain]) standIn.stallConnections()
    applyLogFault(log, schedule.log)
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
      idempotencyKey: `${nowMs}.${name}.${schedules}.${call.key}`,
    })
  }

  /** Repeats keyed calls without an answer through the other router. */
  async function repeat(
    schedule: Schedule,
    first: readonly CallOutcome[],
    nowMs: number,
  ): Promise<CallOutcome[]> {
    const again: Promise<CallOutcome>[] = []
    for (const [index, call] of schedule.calls.entries()) {
      if (call.kind !== CallKind.KeyedCall || first[index]?.status === 200)
        continue
      const other = { ...call, router: call.router === 0 ? 1 : 0 } as const
      const patient = { kind: other.kind, router: other.router, key: call.key }
      const suffix = `${schedules}.${index}.again`
      again.push(send({ ...patient, startAfterMs: 0 }, suffix, nowMs))
    }
    return Promise.all(again)
  }

  async function run(schedule: Schedule): Promise<void> {
    schedules += 1
    applyFaults(schedule)
    const nowMs = Date.now()
    const sent = schedule.calls.map((call, index) =>
      send(call, `${schedules}.${index}`, nowMs),
    )
    const { stoppedRouter } = schedule
    if (stoppedRouter !== undefined) {
      await sleep(STOP_AFTER_MS)
      await replaceRouter(stoppedRouter)
    }
    const first = await Promise.all(sent)
    applyLogFault(log, LogFault.None)
    outcomes.push(...first, ...(await repeat(schedule, first, nowMs)))
    // A call that the log never answered holds a router's next appends up.
    if (schedule.log === LogFault.Silent) {
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
      stops.push(...routers.map((router) => router.stop()))
      await Promise.all([log, ...engines, ...plain].map((one) => one.close()))
      await Promise.all(stops)
      return { outcomes, contradictions }
    },
  }
}
