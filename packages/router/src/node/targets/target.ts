/** One running instance of a service. */
export interface Target {
  /** Identifies this incarnation; a restart gets a new id. */
  readonly id: string
  readonly service: string
  readonly host: string
  readonly port: number
  /** Requests that run concurrently. */
  readonly slots: number
  /** Whether it has announced its shutdown. */
  readonly draining: boolean
}
