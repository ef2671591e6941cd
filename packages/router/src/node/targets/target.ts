/** One running instance of a service. */
export interface Target {
  /** Identifies this target; after a restart it may have the same id. */
  readonly id: string
  /** Time of day of its start, in milliseconds since the epoch; absent if unknown. */
  readonly startedAtMs?: number
  readonly service: string
  readonly host: string
  readonly port: number
  /** Requests that run concurrently. */
  readonly slots: number
  /** Version of its software; versions have no order. */
  readonly softwareVersion: string
  /** Whether it has announced its shutdown. */
  readonly draining: boolean
}
