/** Schedules updates of the membership view. */
export interface UpdateScheduler {
  /** Updates a view that is more than two intervals old; call before use. */
  updateIfStale(): void
  /** Called every interval; an idle router updates less often. */
  updateIfDue(): void
}

/** Options for {@link createUpdateScheduler}. */
export interface UpdateSchedulerOptions {
  readonly update: () => void
  /** Whether any group has recent requests or load. */
  readonly isActive: () => boolean
  /** Milliseconds between two updates while a group is active. */
  readonly intervalMs: number
  readonly now: () => number
}

/** Minimum time between two updates while no group is active. */
const IDLE_UPDATE_INTERVAL_MS = 500

/** Creates a scheduler that its caller drives once per interval. */
export function createUpdateScheduler(
  options: UpdateSchedulerOptions,
): UpdateScheduler {
  const { update, isActive, intervalMs, now } = options
  let updatedAtMs = -Infinity

  const ageMs = (): number => now() - updatedAtMs

  function run(): void {
    update()
    updatedAtMs = now()
  }

  return {
    updateIfStale() {
      if (ageMs() > 2 * intervalMs) run()
    },
    updateIfDue() {
      if (ageMs() >= IDLE_UPDATE_INTERVAL_MS || isActive()) run()
    },
  }
}
