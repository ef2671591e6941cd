import type { WaitingRequest } from './waitingRequest.js'

/** A request before it is sent to a target of its service. */
export interface AdmissionRequest extends WaitingRequest {
  /** Time until which a response is of full use to the caller, in milliseconds of the monotonic clock. */
  readonly dueAtMs: number
}

/** Room at the targets of a service. */
export interface ServiceRoom {
  /** Requests that the targets run at once. */
  readonly slots: number
  /** Requests that other routers have in flight there, as far as this one knows. */
  readonly peersInFlight: number
  /** Routers of the fleet, including this one. */
  readonly routers: number
}

/** What happens to a request. */
export enum AdmissionAction {
  Send = 'send',
  Wait = 'wait',
  Refuse = 'refuse',
}

/** Decision on a request. */
export type Admission =
  | { readonly action: AdmissionAction.Send | AdmissionAction.Wait }
  | {
      readonly action: AdmissionAction.Refuse
      /** Milliseconds until there may be room. */
      readonly retryAfterMs: number
    }

/** Decision on a request that has waited. */
export interface WaitingDecision<T extends AdmissionRequest> {
  readonly request: T
  readonly admission: Admission
}
