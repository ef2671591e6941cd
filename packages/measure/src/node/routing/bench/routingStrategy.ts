import type { Arrival } from './createTrace.js'

/** Simulated fleet as a strategy sees it. */
export interface SimulatedFleet {
  /** Virtual time in milliseconds. */
  readonly nowMs: number
  readonly targets: number
  readonly routers: number
  readonly maxLoadFactor: number
  /** Calls `run` after a delay in virtual time. */
  schedule(delayMs: number, run: () => void): void
  /** Load that the target reported two seconds ago. */
  reportedLoad(target: number): number
  /** Whether the target is in the router's view of the VM list. */
  isListed(router: number, target: number): boolean
  /** Routers that the router considers alive, itself included. */
  liveRouters(router: number): number[]
  /** Target in the hint that the caller sends; absent for a new chat. */
  callerHint(arrival: Arrival): number | undefined
  /** Starts the request on the target at the current time. */
  startRequest(arrival: Arrival, target: number): void
  /** Current load of a target; for the reference with perfect information only. */
  trueLoad(target: number): number
  /** A target that has the chat cached; for the same reference only. */
  trueCacheTarget(chat: string): number | undefined
}

/** Strategy that selects a target for each request. */
export interface RoutingStrategy {
  onArrival(arrival: Arrival): void
  /** Called when a request of the arrival's router has ended. */
  onRequestEnd(arrival: Arrival, target: number): void
}

/** Creates a strategy for one run. */
export type CreateRoutingStrategy = (fleet: SimulatedFleet) => RoutingStrategy
