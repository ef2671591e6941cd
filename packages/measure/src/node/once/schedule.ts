import type { EngineFaults, PlainFaults } from '@auburnbay/stand-ins'
import fc from 'fast-check'

/** Kind of request that a caller sends. */
export enum CallKind {
  StreamedChat = 'stream',
  NonStreamedChat = 'whole-chat',
  IdempotentCall = 'idempotent-call',
  NonIdempotentCall = 'unrepeatable-call',
  KeyedCall = 'keyed-call',
}

/** Fault of the log service during a schedule. */
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
  /** Requests with the same number share an idempotency key. */
  readonly key: 0 | 1
  readonly startAfterMs: number
  /** Milliseconds after which the caller aborts. */
  readonly abortAfterMs?: number
  readonly deadlineMs?: number
}

/** Requests and the faults injected while they run. */
export interface Schedule {
  readonly calls: readonly ScheduledCall[]
  /** Faults of each engine's next requests. */
  readonly engineFaults: readonly (readonly Partial<EngineFaults>[])[]
  /** Faults of each plain service's next requests. */
  readonly plainFaults: readonly (readonly Partial<PlainFaults>[])[]
  /** Whether the first target of each request refuses connections. */
  readonly firstTargetRefuses: boolean
  /** Whether open keep-alive connections stall before the calls. */
  readonly keepAliveStalls: boolean
  readonly logFault: LogFault
  /** Router that pauses between claiming and sending for longer than any timeout. */
  readonly pausedRouter?: 0 | 1
  /** Router that stops while requests are in flight. */
  readonly stoppedRouter?: 0 | 1
}

const ENGINE_WORDS = 6
const MAX_CUT_BYTES = 900

const engineFaultArbitrary: fc.Arbitrary<Partial<EngineFaults>> = fc.oneof(
  { weight: 3, arbitrary: fc.constant({}) },
  fc.constant({ refuse: true }),
  fc.constant({ resetBefore: true }),
  fc.constant({ resetAfter: true }),
  fc.constant({ silent: true }),
  fc.constant({ crossAnswers: true }),
  fc.constant({ withholdEnd: true }),
  fc.constant({ forgetRuns: true, cutAfterEvents: 1 }),
  fc.integer({ min: 0, max: ENGINE_WORDS }).map((n) => ({ cutAfterEvents: n })),
  fc
    .integer({ min: 0, max: ENGINE_WORDS })
    .map((n) => ({ silentAfterEvents: n })),
  fc.integer({ min: 0, max: MAX_CUT_BYTES }).map((n) => ({ cutAfterBytes: n })),
  fc.constantFrom(10, 60).map((delayMs) => ({ delayMs })),
)

const plainFaultArbitrary: fc.Arbitrary<Partial<PlainFaults>> = fc.oneof(
  { weight: 3, arbitrary: fc.constant({}) },
  fc.constant({ refuse: true }),
  fc.constant({ resetBefore: true }),
  fc.constant({ resetAfter: true }),
  fc.constant({ silent: true }),
  fc.constant({ crossAnswers: true }),
  fc.integer({ min: 0, max: MAX_CUT_BYTES }).map((n) => ({ cutAfterBytes: n })),
  fc.constantFrom(10, 60).map((delayMs) => ({ delayMs })),
)

const routerArbitrary = fc.constantFrom(0 as const, 1 as const)

/** Generates a value in one of ten cases. */
function sometimes<T>(arbitrary: fc.Arbitrary<T>): fc.Arbitrary<T | undefined> {
  return fc
    .tuple(fc.nat({ max: 9 }), arbitrary)
    .map(([draw, value]) => (draw === 0 ? value : undefined))
}

const callArbitrary: fc.Arbitrary<ScheduledCall> = fc.record({
  kind: fc.oneof(
    { weight: 2, arbitrary: fc.constant(CallKind.KeyedCall) },
    { weight: 3, arbitrary: fc.constantFrom(...Object.values(CallKind)) },
  ),
  router: routerArbitrary,
  key: routerArbitrary,
  startAfterMs: fc.constantFrom(0, 0, 0, 15),
  abortAfterMs: sometimes(fc.integer({ min: 1, max: 60 })),
  deadlineMs: sometimes(fc.integer({ min: 0, max: 80 })),
})

const faultsOfTwoTargets = <T>(fault: fc.Arbitrary<T>) =>
  fc.tuple(fc.array(fault, { maxLength: 4 }), fc.array(fault, { maxLength: 4 }))

/** Generates schedules of up to five calls with single and combined faults. */
export const scheduleArbitrary: fc.Arbitrary<Schedule> = fc.record({
  calls: fc.array(callArbitrary, { minLength: 1, maxLength: 5 }),
  engineFaults: faultsOfTwoTargets(engineFaultArbitrary),
  plainFaults: faultsOfTwoTargets(plainFaultArbitrary),
  firstTargetRefuses: fc.boolean(),
  keepAliveStalls: fc.boolean(),
  logFault: fc.oneof(
    { weight: 8, arbitrary: fc.constant(LogFault.None) },
    { weight: 2, arbitrary: fc.constant(LogFault.LosesReplies) },
    { weight: 1, arbitrary: fc.constant(LogFault.Outage) },
    { weight: 1, arbitrary: fc.constant(LogFault.Slow) },
    { weight: 1, arbitrary: fc.constant(LogFault.Silent) },
  ),
  pausedRouter: sometimes(routerArbitrary),
  stoppedRouter: sometimes(routerArbitrary),
})
