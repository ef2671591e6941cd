import type { Arrival } from './createTrace.js'

/** What a way of choosing targets may see and do. */
export interface BenchFleet {
  readonly nowMs: number
  readonly targets: number
  readonly routers: number
  readonly maxLoadFactor: number
  after(delayMs: number, run: () => void): void
  /** The target's own report of its load, two seconds late. */
  reported(target: number): number
  /** Whether the target is in the router's view of the VM list. */
  listed(router: number, target: number): boolean
  /** Routers that the router believes to be alive, itself included. */
  liveRouters(router: number): number[]
  /** Target named by the hint that the caller sends; absent for a new chat. */
  callerHint(arrival: Arrival): number | undefined
  /** Starts the request on the target now. */
  run(arrival: Arrival, target: number): void
  /** The truth; only the all-knowing way may look at it. */
  trueLoad(target: number): number
  trulyCached(chat: string): number | undefined
}

/** A way of choosing targets. */
export interface RoutingWay {
  place(arrival: Arrival): void
  /** A request of the arrival's router has ended. */
  ended(arrival: Arrival, target: number): void
}

/** Creates a way for one run. */
export type CreateWay = (fleet: BenchFleet) => RoutingWay
