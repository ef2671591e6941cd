/** When the view of the fleet is brought up to date. */
export interface UpdateScheduler {
  /** Updates a view that an idle router has let grow old. */
  updateIfStale(): void
  /** Updates when it is time to; an idle router seldom does. */
  updateIfDue(): void
}

/** What the pace works with. */
export interface UpdateSchedulerOptions {
  readonly update: () => void
  /** Whether any group is in use. */
  readonly isActive: () => boolean
  /** Milliseconds between two updates while a group is in use. */
  readonly intervalMs: number
  readonly now: () => number
}

/** Milliseconds between two updates while no group is in use. */
const IDLE_UPDATE_INTERVAL_MS = 500

/** Creates the pace of updates. */
export function createUpdateScheduler(
  options: UpdateSchedulerOptions,
): UpdateScheduler {
  const { update, isActive: inUse, intervalMs: everyMs, now } = options
  let updatedAtMs = -Infinity

  const ageMs = (): number => now() - updatedAtMs

  function run(): void {
    update()
    updatedAtMs = now()
  }

  return {
    updateIfStale() {
      if (ageMs() > 2 * everyMs) run()
    },
    updateIfDue() {
      if (ageMs() >= IDLE_UPDATE_INTERVAL_MS || inUse()) run()
    },
  }
}
