/** Holds down targets that leave and return repeatedly. */
export interface FlapDamper {
  /** Records whether a target is listed; returns whether it may be used. */
  update(targetId: string, listed: boolean, nowMs: number): boolean
}

/** Options for {@link createFlapDamper}. */
export interface FlapDamperOptions {
  /** Hold-down after the second leave, in milliseconds. @default 1000 */
  readonly baseMs?: number
  /** Longest hold-down, in milliseconds. @default 60000 */
  readonly maxMs?: number
  /**
   * Milliseconds without a leave after which earlier leaves are forgotten.
   * @default 300000
   */
  readonly forgetMs?: number
}

interface TargetHistory {
  listed: boolean
  leaves: number
  leftAtMs: number
  heldUntilMs: number
}

/** Creates a damper whose hold-down doubles with each leave. */
export function createFlapDamper(options: FlapDamperOptions = {}): FlapDamper {
  const { baseMs = 1_000, maxMs = 60_000, forgetMs = 300_000 } = options
  const histories = new Map<string, TargetHistory>()

  function holdDownMs(leaves: number): number {
    return leaves < 2 ? 0 : Math.min(maxMs, baseMs * 2 ** (leaves - 2))
  }

  function setListed(
    history: TargetHistory,
    listed: boolean,
    nowMs: number,
  ): void {
    if (history.listed === listed) return
    history.listed = listed
    if (listed) {
      history.heldUntilMs = nowMs + holdDownMs(history.leaves)
      return
    }
    if (nowMs - history.leftAtMs >= forgetMs) history.leaves = 0
    history.leaves += 1
    history.leftAtMs = nowMs
  }

  return {
    update(targetId, listed, nowMs) {
      const known = histories.get(targetId)
      if (known) {
        setListed(known, listed, nowMs)
        return listed && nowMs >= known.heldUntilMs
      }
      if (listed)
        histories.set(targetId, {
          listed,
          leaves: 0,
          leftAtMs: -Infinity,
          heldUntilMs: 0,
        })
      return listed
    },
  }
}
