/** What the log is polled for. */
export enum PolledSource {
  Configurations = 'configurations',
  Targets = 'targets',
}

/** A router's last polls as digests carry them: milliseconds ago, or null. */
export type EncodedPolls = readonly [
  router: string,
  configurationsMs: number | null,
  targetsMs: number | null,
]

/**
 * How a router learnt of polls. Each digest adds its delay to their age, so they
 * are passed on from a member to its aggregator, to the others, and to their members.
 */
export enum PollSource {
  Poller = 1,
  Aggregator = 2,
  OwnAggregator = 3,
}

/** The routers that poll the log for the fleet, as this router knows them. */
export interface Pollers {
  /** Records the polls of a router, valid at `nowMs`. */
  record(polls: EncodedPolls, from: PollSource, nowMs: number): void
  /** Forgets all polls. */
  clear(): void
  /** Whether a router whose name precedes `router` has polled a source within `maxAgeMs`. */
  hasFreshBefore(
    router: string,
    source: PolledSource,
    maxAgeMs: number,
    nowMs: number,
  ): boolean
  /** Returns the milliseconds since any router polled a source; infinite if none has. */
  latestAgeMs(source: PolledSource, nowMs: number): number
  /** Returns polls that others need to know of, learnt from `from` or more directly: those of the first router by name with a fresh poll of each source. */
  toReport(from: PollSource, maxAgeMs: number, nowMs: number): EncodedPolls[]
}

interface Polls {
  readonly atMs: Record<PolledSource, number>
  readonly from: PollSource
}

/** Milliseconds after which polls are forgotten; far beyond any bound on their age. */
const MEMORY_MS = 60_000

/** Creates a table without polls. */
export function createPollers(): Pollers {
  const polls = new Map<string, Polls>()
  const sources = Object.values(PolledSource)

  const toTime = (ageMs: number | null, nowMs: number): number =>
    ageMs === null ? -Infinity : nowMs - ageMs

  function firstFresh(
    source: PolledSource,
    farthest: PollSource,
    maxAgeMs: number,
    nowMs: number,
  ): string | undefined {
    let first: string | undefined
    for (const [router, { atMs, from }] of polls) {
      if (from > farthest || nowMs - atMs[source] > maxAgeMs) continue
      if (first === undefined || router < first) first = router
    }
    return first
  }

  function encode(router: string, nowMs: number): EncodedPolls {
    const ageOf = (source: PolledSource): number | null => {
      const ageMs = nowMs - (polls.get(router)?.atMs[source] ?? -Infinity)
      return Number.isFinite(ageMs) ? Math.round(ageMs) : null
    }
    return [
      router,
      ageOf(PolledSource.Configurations),
      ageOf(PolledSource.Targets),
    ]
  }

  return {
    record([router, configurationsMs, targetsMs], from, nowMs) {
      const known = polls.get(router)
      const atMs = {
        [PolledSource.Configurations]: toTime(configurationsMs, nowMs),
        [PolledSource.Targets]: toTime(targetsMs, nowMs),
      }
      const isNews = sources.some(
        (source) => atMs[source] > (known?.atMs[source] ?? -Infinity),
      )
      if (!isNews) return
      for (const source of sources)
        atMs[source] = Math.max(atMs[source], known?.atMs[source] ?? -Infinity)
      polls.set(router, { atMs, from })
    },
    clear() {
      polls.clear()
    },
    hasFreshBefore(router, source, maxAgeMs, nowMs) {
      const first = firstFresh(
        source,
        PollSource.OwnAggregator,
        maxAgeMs,
        nowMs,
      )
      return first !== undefined && first < router
    },
    latestAgeMs(source, nowMs) {
      let latestMs = -Infinity
      for (const [router, { atMs }] of polls) {
        latestMs = Math.max(latestMs, atMs[source])
        const isOld = sources.every((name) => nowMs - atMs[name] > MEMORY_MS)
        if (isOld) polls.delete(router)
      }
      return nowMs - latestMs
    },
    toReport(from, maxAgeMs, nowMs) {
      const routers = new Set<string>()
      for (const source of sources) {
        const first = firstFresh(source, from, maxAgeMs, nowMs)
        if (first !== undefined) routers.add(first)
      }
      return [...routers].map((router) => encode(router, nowMs))
    },
  }
}

/** Whether a decoded value is an encoded list of polls. */
export function isEncodedPolls(value: unknown): value is EncodedPolls {
  if (!Array.isArray(value)) return false
  const [router, ...ages] = value as unknown[]
  const isAge = (age: unknown): boolean =>
    age === null || typeof age === 'number'
  return typeof router === 'string' && ages.length === 2 && ages.every(isAge)
}
