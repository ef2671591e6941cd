/** A customer, authenticated by any of its keys. */
export interface Customer {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the priority of the route. */
  readonly priority?: number
}
