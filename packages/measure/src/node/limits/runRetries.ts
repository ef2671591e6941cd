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

/** How a service that is half down is driven. */
export interface RetryOptions {
  readonly targets: number
  readonly requests: number
  /** Whether retries come out of a budget and ask what may have run. */
  readonly budgeted: boolean
  /** Whether failing targets are ejected. */
  readonly ejecting: boolean
}

/** What a router sent. */
export interface RetryRun {
  readonly firstTries: number
  readonly retries: number
  /** Repeats of requests that may have run and are not idempotent. */
  readonly unsafeRetries: number
  /** Requests that reached a working target. */
  readonly answered: number
  /** Tries that went to targets that are down. */
  readonly wasted: number
  /** Largest part of the targets ejected at a time. */
  readonly ejectedShare: number
}

/** Retries for each first try, as the daemon's default. */
export const RETRY_RATIO = 0.2
/** Largest part of a service's targets ejected, as the daemon's default. */
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
const MAX_TRIES = 3
const SEED = 13
const REQUEST_EVERY_MS = 50
const IDEMPOTENT_SHARE = 0.7
/** Share of failures in which the target may have run the request. */
const MAY_HAVE_RUN_SHARE = 0.5

function drawVerdict(random: Random): Verdict {
  return random.unit() < MAY_HAVE_RUN_SHARE
    ? Verdict.MayHaveRun
    : Verdict.NotRun
}

/** Sends a seeded trace to a service whose every second target is down. */
export function runRetries(options: RetryOptions): RetryRun {
  const random = createRandom(SEED)
  const budget = createRetryBudget(BUDGET)
  const health = createServiceHealth(HEALTH)
  const targets = Array.from({ length: options.targets }, (_, index) => ({
    id: `target-${index}`,
    weight: 1,
    down: index % 2 === 1,
  }))
  health.setTargets(targets.map(({ id }) => id))
  const counts = { firstTries: 0, retries: 0, unsafeRetries: 0 }
  let answered = 0
  let wasted = 0
  let ejectedShare = 0

  function noteEjected(nowMs: number): void {
    const ejected = targets.filter(
      ({ id }) => health.circuit(id, nowMs) !== CircuitState.Closed,
    )
    ejectedShare = Math.max(ejectedShare, ejected.length / targets.length)
  }

  function send(index: number): void {
    const nowMs = index * REQUEST_EVERY_MS
    const idempotent = random.unit() < IDEMPOTENT_SHARE
    const order = rendezvousOrder(`chat-${index}`, targets)
    const tried = new Set<string>()
    counts.firstTries += 1
    budget.recordFirstAttempt()
    let mayHaveRun = false
    for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
      const target = order.find(
        ({ id }) =>
          !tried.has(id) &&
          (!options.ejecting || health.isEligible(id, idempotent, nowMs)),
      )
      if (!target) return
      tried.add(target.id)
      if (tries > 1 && mayHaveRun && !idempotent) counts.unsafeRetries += 1
      const isProbe = health.recordStart(target.id, nowMs)
      const { Success, Failure } = TargetOutcome
      const outcome = target.down ? Failure : Success
      health.recordOutcome(target.id, outcome, nowMs, isProbe)
      noteEjected(nowMs)
      if (!target.down) {
        answered += 1
        return
      }
      wasted += 1
      const verdict = drawVerdict(random)
      mayHaveRun ||= verdict === Verdict.MayHaveRun
      if (tries === MAX_TRIES) return
      if (options.budgeted) {
        if (!mayRetry({ verdict, idempotent, abandoned: false })) return
        if (!budget.consumeRetry()) return
      }
      counts.retries += 1
    }
  }

  for (let index = 0; index < options.requests; index += 1) send(index)
  return { ...counts, answered, wasted, ejectedShare }
}
