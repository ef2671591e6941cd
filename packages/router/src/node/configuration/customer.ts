/** Who sends requests, known by any of several keys. */
export interface Customer {
  readonly name: string
  readonly keys: readonly string[]
  /** Takes precedence over a route's priority. */
  readonly priority?: number
}
