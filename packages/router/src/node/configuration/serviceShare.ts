/** A service's part of the requests on a route. */
export interface ServiceShare {
  readonly service: string
  /** Weight against the route's other shares. */
  readonly weight: number
}
