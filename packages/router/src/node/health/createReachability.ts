import type { Target } from '../targets/target.js'

/** Options for {@link createReachability}. */
export interface ReachabilityOptions {
  /** Returns all targets. */
  readonly targets: () => Iterable<Target>
  /** Resolves to whether a target accepts a connection. */
  readonly connects: (target: Target) => Promise<boolean>
  /** Returns the milliseconds for which all targets with requests in flight have sent nothing; 0 without requests. */
  readonly silentMs: () => number
  /** Called when this router loses or regains its connections to targets. */
  readonly onChange: (isCutOff: boolean) => void
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
  /** Monotonic clock, in milliseconds. */
  readonly now: () => number
}

/** Finds out whether this router can open connections to targets. */
export interface Reachability {
  /** Whether it could open none to any of the last targets it tried. */
  readonly isCutOff: boolean
  /** Records that a target sent the head of a response. */
  recordResponse(): void
  /** Records that a target did not accept a connection. */
  recordUnreachable(targetId: string): void
  /** Returns the milliseconds since a target responded to this router; infinite if none has, or it is cut off. */
  responseAgeMs(): number
  /** Checks for suspicions, and for the end of a cut. */
  poll(): Promise<void>
}

/** Targets that a check tries to connect to. */
const CHECKED_TARGETS = 5
/** Distinct targets that are unreachable before a check: one or two may just have stopped. */
const MIN_UNREACHABLE = 2
/** Milliseconds for which an unreachable target arouses suspicion. */
const SUSPICION_MS = 2_000
/** Milliseconds without a byte of any target before a check; a sound one may pause for a second. */
const MAX_SILENT_MS = 500
/** Milliseconds between two checks. */
const CHECK_INTERVAL_MS = 500

/** Creates a reachability of a router that reaches its targets. */
export function createReachability(options: ReachabilityOptions): Reachability {
  const { now } = options
  const unreachableAtMs = new Map<string, number>()
  let isCutOff = false
  let isChecking = false
  let checkedAtMs = -Infinity
  let respondedAtMs = -Infinity

  function sample(): Target[] {
    const pool = [...options.targets()]
    const chosen: Target[] = []
    while (pool.length > 0 && chosen.length < CHECKED_TARGETS) {
      const index = Math.floor(options.random() * pool.length)
      chosen.push(...pool.splice(index, 1))
    }
    return chosen
  }

  function isSuspicious(): boolean {
    for (const [id, atMs] of unreachableAtMs)
      if (now() - atMs > SUSPICION_MS) unreachableAtMs.delete(id)
    if (unreachableAtMs.size >= MIN_UNREACHABLE) return true
    return options.silentMs() > MAX_SILENT_MS
  }

  async function check(): Promise<void> {
    const targets = sample()
    if (targets.length === 0) return
    const results = await Promise.all(targets.map(options.connects))
    const isCutOffNow = results.every((isConnected) => !isConnected)
    if (!isCutOffNow) unreachableAtMs.clear()
    if (isCutOffNow === isCutOff) return
    isCutOff = isCutOffNow
    options.onChange(isCutOff)
  }

  return {
    get isCutOff() {
      return isCutOff
    },
    recordResponse() {
      respondedAtMs = now()
    },
    recordUnreachable(targetId) {
      unreachableAtMs.set(targetId, now())
    },
    responseAgeMs: () => (isCutOff ? Infinity : now() - respondedAtMs),
    async poll() {
      if (isChecking || now() - checkedAtMs < CHECK_INTERVAL_MS) return
      if (!isCutOff && !isSuspicious()) return
      isChecking = true
      checkedAtMs = now()
      try {
        await check()
      } finally {
        isChecking = false
      }
    },
  }
}
