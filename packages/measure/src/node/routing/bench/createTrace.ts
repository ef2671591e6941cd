import { createRandom, type Random } from './createRandom.js'
import { CUSTOMER_SHARES, type Deployment } from './deployment.js'

/** One request of a trace. */
export interface Arrival {
  readonly id: number
  readonly atMs: number
  readonly customer: number
  readonly chat: string
  /** Position in the chat, from 0. */
  readonly turn: number
  /** Index of the router that the load balancer selects. */
  readonly router: number
  readonly durationMs: number
  /** Shared briefing that the chat starts from; empty for none. */
  readonly briefing: string
}

/** Options for {@link createTrace}. */
export interface CreateTraceOptions {
  readonly deployment: Deployment
  readonly seed: number
  readonly lengthMs: number
  /** Period in which the surging customers send ten times as much. */
  readonly surge?: { readonly fromMs: number; readonly toMs: number }
}

const SURGE_FACTOR = 10
const SHORT_PAUSE_MS = 90_000
const LONG_PAUSE_MS = 900_000
const LONG_PAUSE_SHARE = 0.15

interface Session {
  readonly startMs: number
  readonly customer: number
  readonly chat: string
  readonly briefing: string
}

function drawPauseMs(random: Random): number {
  const mean = random.unit() < LONG_PAUSE_SHARE ? LONG_PAUSE_MS : SHORT_PAUSE_MS
  return random.exponential(mean)
}

/** Draws a briefing; lower numbers are more frequent. */
function drawBriefing(random: Random, briefings: number): string {
  if (briefings === 0) return ''
  return `briefing-${Math.floor(briefings * random.unit() ** 2)}`
}

function addSession(
  session: Session,
  options: CreateTraceOptions,
  random: Random,
  arrivals: Omit<Arrival, 'id'>[],
): void {
  const { deployment, lengthMs } = options
  let atMs = session.startMs
  for (let turn = 0; atMs < lengthMs; turn += 1) {
    const durationMs = random.exponential(deployment.durationMs)
    const router = random.below(deployment.routers)
    const { customer, chat, briefing } = session
    if (atMs >= 0)
      arrivals.push({
        atMs,
        customer,
        chat,
        turn,
        router,
        durationMs,
        briefing,
      })
    if (random.unit() >= 1 - 1 / deployment.turns) return
    atMs += durationMs + drawPauseMs(random)
  }
}

function addCustomer(
  customer: number,
  share: number,
  options: CreateTraceOptions,
  random: Random,
  arrivals: Omit<Arrival, 'id'>[],
): void {
  const { deployment, lengthMs, surge } = options
  const requestsPerMs =
    (deployment.targets * deployment.meanInFlight) / deployment.durationMs
  const startsPerMs = (requestsPerMs * share) / deployment.turns
  const hasSurge = surge !== undefined && deployment.surging.includes(customer)
  const maxStartsPerMs = startsPerMs * (hasSurge ? SURGE_FACTOR : 1)
  // Chats start before the trace so that its load is steady from the beginning.
  const firstStartMs = deployment.turns > 1 ? -2 * LONG_PAUSE_MS : 0
  let startMs = firstStartMs
  for (let number = 0; ; number += 1) {
    startMs += random.exponential(1 / maxStartsPerMs)
    if (startMs >= lengthMs) return
    const surging = hasSurge && startMs >= surge.fromMs && startMs < surge.toMs
    // Thins the surge rate out to the normal rate outside the surge.
    if (hasSurge && !surging && random.unit() >= 1 / SURGE_FACTOR) continue
    const briefing = drawBriefing(random, deployment.briefings)
    const chat = `c${customer}-${number}`
    addSession({ startMs, customer, chat, briefing }, options, random, arrivals)
  }
}

/** Creates the requests of a deployment, ordered by time. */
export function createTrace(options: CreateTraceOptions): Arrival[] {
  const random = createRandom(options.seed)
  const arrivals: Omit<Arrival, 'id'>[] = []
  let total = 0
  for (const share of CUSTOMER_SHARES) total += share
  for (const [customer, share] of CUSTOMER_SHARES.entries())
    addCustomer(customer, share / total, options, random, arrivals)
  arrivals.sort((a, b) => a.atMs - b.atMs)
  return arrivals.map((arrival, id) => ({ ...arrival, id }))
}
