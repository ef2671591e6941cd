import { DeadlinePassed } from '../callers/deadlinePassed.js'

/** Why a request left the queue without its turn. */
export enum LeaveReason {
  Shed = 'shed',
  Expired = 'expired',
  CallerGone = 'caller-gone',
}

/** Tells a passed deadline from a caller that went away. */
export function reasonOf(aborted: AbortSignal): LeaveReason {
  return aborted.reason instanceof DeadlinePassed
    ? LeaveReason.Expired
    : LeaveReason.CallerGone
}
