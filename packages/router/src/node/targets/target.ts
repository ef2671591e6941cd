/** One running instance of a service. */
export interface Target {
  /** Identifies this incarnation; a restart gets a new id. */
  readonly id: string
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
