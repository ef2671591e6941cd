/** One running instance of a service. */
export interface Target {
  /** Names this incarnation; a restart brings another. */
  readonly id: string
  readonly service: string
  readonly host: string
  readonly port: number
  /** Requests that run at once. */
  readonly slots: number
  /** Whether it announced that it leaves. */
  readonly draining: boolean
}
