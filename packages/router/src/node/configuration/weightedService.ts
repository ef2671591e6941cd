/** A service's part of the requests on a route. */
export interface WeightedService {
  readonly service: string
  /** Weight against the route's other shares. */
  readonly weight: number
}
