/** When the view of the fleet is brought up to date. */
export interface UpdatePace {
  /** Updates a view that an idle router has let grow old. */
  whenOld(): void
  /** Updates when it is time to; an idle router seldom does. */
  inTurn(): void
}

/** What the pace works with. */
export interface UpdatePaceOptions {
  readonly update: () => void
  /** Whether any group is in use. */
  readonly inUse: () => boolean
  /** Milliseconds between two updates while a group is in use. */
  readonly everyMs: number
  readonly now: () => number
}

/** Milliseconds between two updates while no group is in use. */
const IDLE_UPDATE_MS = 500

/** Creates the pace of updates. */
export function createUpdatePace(options: UpdatePaceOptions): UpdatePace {
  const { update, inUse, everyMs, now } = options
  let updatedAtMs = -Infinity

  const ageMs = (): number => now() - updatedAtMs

  function run(): void {
    update()
    updatedAtMs = now()
  }

  return {
    whenOld() {
      if (ageMs() > 2 * everyMs) run()
    },
    inTurn() {
      if (ageMs() >= IDLE_UPDATE_MS || inUse()) run()
    },
  }
}
