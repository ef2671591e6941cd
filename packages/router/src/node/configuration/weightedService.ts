/** A service of a route and its weight in the traffic split. */
export interface WeightedService {
  readonly service: string
  /** Relative to the weights of the other services of the route. */
  readonly weight: number
}
