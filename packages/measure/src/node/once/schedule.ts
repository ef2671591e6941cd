import type { EngineFaults, PlainFaults } from '@auburnbay/stand-ins'
import fc from 'fast-check'

/** What a caller asks for. */
export enum CallKind {
  Stream = 'stream',
  WholeChat = 'whole-chat',
  IdempotentCall = 'idempotent-call',
  UnrepeatableCall = 'unrepeatable-call',
  KeyedCall = 'keyed-call',
}

/** How the log service fails. */
export enum LogFault {
  None = 'none',
  Outage = 'outage',
  LosesReplies = 'loses-replies',
  Slow = 'slow',
  Silent = 'silent',
}

/** One request of a schedule. */
export interface ScheduledCall {
  readonly kind: CallKind
  readonly router: 0 | 1
  /** Requests of the same number use the same key. */
  readonly key: 0 | 1
  readonly startAfterMs: number
  /** Milliseconds after which the caller leaves. */
  readonly leavesAfterMs?: number
  readonly deadlineMs?: number
}

/** Requests and the faults that meet them. */
export interface Schedule {
  readonly calls: readonly ScheduledCall[]
  /** Faults of each target's next requests. */
  readonly engines: readonly (readonly Partial<EngineFaults>[])[]
  readonly plain: readonly (readonly Partial<PlainFaults>[])[]
  /** Whether the first target tried refuses connections. */
  readonly refusedFirst: boolean
  /** Whether kept connections go silent before the calls. */
  readonly keptGoSilent: boolean
  readonly log: LogFault
  /** A router that halts between claiming and sending, beyond every limit. */
  readonly pausedRouter?: 0 | 1
  /** A router that stops while it works. */
  readonly stoppedRouter?: 0 | 1
}

const words = 6
const longBytes = 900

const engineFault: fc.Arbitrary<Partial<EngineFaults>> = fc.oneof(
  { weight: 3, arbitrary: fc.constant({}) },
  fc.constant({ refuse: true }),
  fc.constant({ resetBefore: true }),
  fc.constant({ resetAfter: true }),
  fc.constant({ silent: true }),
  fc.constant({ crossAnswers: true }),
  fc.constant({ withholdEnd: true }),
  fc.constant({ forgetRuns: true, cutAfterEvents: 1 }),
  fc.integer({ min: 0, max: words }).map((n) => ({ cutAfterEvents: n })),
  fc.integer({ min: 0, max: words }).map((n) => ({ silentAfterEvents: n })),
  fc.integer({ min: 0, max: longBytes }).map((n) => ({ cutAfterBytes: n })),
  fc.constantFrom(10, 60).map((delayMs) => ({ delayMs })),
)

const plainFault: fc.Arbitrary<Partial<PlainFaults>> = fc.oneof(
  { weight: 3, arbitrary: fc.constant({}) },
  fc.constant({ refuse: true }),
  fc.constant({ resetBefore: true }),
  fc.constant({ resetAfter: true }),
  fc.constant({ silent: true }),
  fc.constant({ crossAnswers: true }),
  fc.integer({ min: 0, max: longBytes }).map((n) => ({ cutAfterBytes: n })),
  fc.constantFrom(10, 60).map((delayMs) => ({ delayMs })),
)

const router = fc.constantFrom(0 as const, 1 as const)

function sometimes<T>(arbitrary: fc.Arbitrary<T>): fc.Arbitrary<T | undefined> {
  return fc
    .tuple(fc.nat({ max: 9 }), arbitrary)
    .map(([dice, value]) => (dice === 0 ? value : undefined))
}

const call: fc.Arbitrary<ScheduledCall> = fc.record({
  kind: fc.oneof(
    { weight: 2, arbitrary: fc.constant(CallKind.KeyedCall) },
    { weight: 3, arbitrary: fc.constantFrom(...Object.values(CallKind)) },
  ),
  router,
  key: router,
  startAfterMs: fc.constantFrom(0, 0, 0, 15),
  leavesAfterMs: sometimes(fc.integer({ min: 1, max: 60 })),
  deadlineMs: sometimes(fc.integer({ min: 0, max: 80 })),
})

const twoTargets = <T>(fault: fc.Arbitrary<T>) =>
  fc.tuple(fc.array(fault, { maxLength: 4 }), fc.array(fault, { maxLength: 4 }))

/** Generates schedules of up to five calls with faults alone and together. */
export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  calls: fc.array(call, { minLength: 1, maxLength: 5 }),
  engines: twoTargets(engineFault),
  plain: twoTargets(plainFault),
  refusedFirst: fc.boolean(),
  keptGoSilent: fc.boolean(),
  log: fc.oneof(
    { weight: 8, arbitrary: fc.constant(LogFault.None) },
    { weight: 2, arbitrary: fc.constant(LogFault.LosesReplies) },
    { weight: 1, arbitrary: fc.constant(LogFault.Outage) },
    { weight: 1, arbitrary: fc.constant(LogFault.Slow) },
    { weight: 1, arbitrary: fc.constant(LogFault.Silent) },
  ),
  pausedRouter: sometimes(router),
  stoppedRouter: sometimes(router),
})
