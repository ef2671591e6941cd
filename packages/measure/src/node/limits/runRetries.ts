import {
  CircuitState,
  createRetryBudget,
  createServiceHealth,
  mayRetry,
  rendezvousOrder,
  TargetOutcome,
  Verdict,
} from '@auburnbay/core'
import { createRandom, type Random } from '../routing/bench/createRandom.js'

/** Options for {@link runRetries}. */
export interface RunRetriesOptions {
  readonly targets: number
  readonly requests: number
  /** Whether a retry needs budget and a request that is safe to repeat. */
  readonly budgeted: boolean
  /** Whether failing targets are ejected. */
  readonly ejecting: boolean
}

/** Requests and retries of a run. */
export interface RetryRun {
  readonly firstAttempts: number
  readonly retries: number
  /** Retries of requests that may have run and are not idempotent. */
  readonly unsafeRetries: number
  /** Requests that reached a working target. */
  readonly succeeded: number
  /** Attempts at targets that are down. */
  readonly wastedAttempts: number
  /** Largest share of targets ejected at one time. */
  readonly ejectedShare: number
}

/** Retries for each first attempt; the daemon's default. */
export const RETRY_RATIO = 0.2
/** Largest share of a service's targets ejected; the daemon's default. */
export const MAX_EJECTED_SHARE = 0.5

const BUDGET = { ratio: RETRY_RATIO, burst: 20, reserve: 10 }
const HEALTH = {
  consecutiveFailures: 3,
  rateOutcomes: 20,
  maxRateGap: 0.3,
  baseHoldMs: 1_000,
  maxHoldMs: 60_000,
  maxEjectedShare: MAX_EJECTED_SHARE,
}
const MAX_ATTEMPTS = 3
const SEED = 13
const REQUEST_INTERVAL_MS = 50
const IDEMPOTENT_SHARE = 0.7
/** Share of failures in which the target may have run the request. */
const MAY_HAVE_RUN_SHARE = 0.5

function drawVerdict(random: Random): Verdict {
  return random.unit() < MAY_HAVE_RUN_SHARE
    ? Verdict.MayHaveRun
    : Verdict.NotRun
}

/** Sends seeded requests to a service with every second target down. */
export function runRetries(options: RunRetriesOptions): RetryRun {
  const random = createRandom(SEED)
  const budget = createRetryBudget(BUDGET)
  const health = createServiceHealth(HEALTH)
  const targets = Array.from({ length: options.targets }, (_, index) => ({
    id: `target-${index}`,
    weight: 1,
    down: index % 2 === 1,
  }))
  health.setTargets(targets.map(({ id }) => id))
  const counts = { firstAttempts: 0, retries: 0, unsafeRetries: 0 }
  let succeeded = 0
  let wastedAttempts = 0
  let ejectedShare = 0

  function recordEjectedShare(nowMs: number): void {
    const ejected = targets.filter(
      ({ id }) => health.circuit(id, nowMs) !== CircuitState.Closed,
    )
    ejectedShare = Math.max(ejectedShare, ejected.length / targets.length)
  }

  function send(index: number): void {
    const nowMs = index * REQUEST_INTERVAL_MS
    const idempotent = random.unit() < IDEMPOTENT_SHARE
    const order = rendezvousOrder(`chat-${index}`, targets)
    const attempted = new Set<string>()
    counts.firstAttempts += 1
    budget.recordFirstAttempt()
    let mayHaveRun = false
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const target = order.find(
        ({ id }) =>
          !attempted.has(id) &&
          (!options.ejecting || health.isEligible(id, idempotent, nowMs)),
      )
      if (!target) return
      attempted.add(target.id)
      if (attempt > 1 && mayHaveRun && !idempotent) counts.unsafeRetries += 1
      const isProbe = health.recordStart(target.id, nowMs)
      const { Success, Failure } = TargetOutcome
      const outcome = target.down ? Failure : Success
      health.recordOutcome(target.id, outcome, nowMs, isProbe)
      recordEjectedShare(nowMs)
      if (!target.down) {
        succeeded += 1
        return
      }
      wastedAttempts += 1
      const verdict = drawVerdict(random)
      mayHaveRun ||= verdict === Verdict.MayHaveRun
      if (attempt === MAX_ATTEMPTS) return
      if (options.budgeted) {
        if (!mayRetry({ verdict, idempotent, abandoned: false })) return
        if (!budget.tryAcquire()) return
      }
      counts.retries += 1
    }
  }

  for (let index = 0; index < options.requests; index += 1) send(index)
  return { ...counts, succeeded, wastedAttempts, ejectedShare }
}
