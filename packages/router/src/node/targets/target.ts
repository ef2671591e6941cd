/** One running instance of a service. */
export interface Target {
  /** Identifies this target; after a restart it may have the same id. */
  readonly id: string
  /** Time of day of its start, in milliseconds since the epoch; absent if unknown. */
  readonly startedAtMs?: number
  readonly service: string
  readonly host: string
  readonly port: number
  /** Data centre that it runs in; absent if unknown. */
  readonly dataCentre?: string
  /** Requests that run concurrently. */
  readonly slots: number
  /** Version of its software; versions have no order. */
  readonly softwareVersion: string
  /** Whether it has announced its shutdown. */
  readonly draining: boolean
}

/** A target as its entry in the target list describes it. */
export interface ListedTarget extends Target {
  /** Milliseconds for which it was still cold as the entry was written. */
  readonly coldMs?: number
}
