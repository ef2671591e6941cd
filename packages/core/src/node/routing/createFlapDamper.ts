/** Keeps targets out for a while that leave and return again and again. */
export interface FlapDamper {
  /** Notes whether a target is listed now; returns whether to use it. */
  update(targetId: string, listed: boolean, nowMs: number): boolean
}

/** What a flap damper works with. */
export interface FlapDamperOptions {
  /** Hold-down after the second leave, in milliseconds. @default 1000 */
  readonly baseMs?: number
  /** @default 60000 */
  readonly maxMs?: number
  /** Milliseconds of good conduct after which a leave is forgotten. @default 300000 */
  readonly forgetMs?: number
}

interface Conduct {
  listed: boolean
  leaves: number
  leftAtMs: number
  heldUntilMs: number
}

/** Creates a damper whose hold-down doubles with each leave. */
export function createFlapDamper(options: FlapDamperOptions = {}): FlapDamper {
  const { baseMs = 1_000, maxMs = 60_000, forgetMs = 300_000 } = options
  const conducts = new Map<string, Conduct>()

  function holdDown(leaves: number): number {
    return leaves < 2 ? 0 : Math.min(maxMs, baseMs * 2 ** (leaves - 2))
  }

  function change(conduct: Conduct, listed: boolean, nowMs: number): void {
    if (conduct.listed === listed) return
    conduct.listed = listed
    if (listed) {
      conduct.heldUntilMs = nowMs + holdDown(conduct.leaves)
      return
    }
    if (nowMs - conduct.leftAtMs >= forgetMs) conduct.leaves = 0
    conduct.leaves += 1
    conduct.leftAtMs = nowMs
  }

  return {
    update(targetId, listed, nowMs) {
      const known = conducts.get(targetId)
      if (known) {
        change(known, listed, nowMs)
        return listed && nowMs >= known.heldUntilMs
      }
      if (listed)
        conducts.set(targetId, {
          listed,
          leaves: 0,
          leftAtMs: -Infinity,
          heldUntilMs: 0,
        })
      return listed
    },
  }
}
