import { DeadlinePassed } from '../callers/deadlinePassed.js'

/** Why a request left the queue before it ran; part of a metric's name. */
export enum QueueExitReason {
  Shed = 'shed',
  Expired = 'expired',
  CallerDisconnected = 'caller-gone',
}

/** Returns whether the deadline passed or the caller disconnected. */
export function exitReasonOf(aborted: AbortSignal): QueueExitReason {
  return aborted.reason instanceof DeadlinePassed
    ? QueueExitReason.Expired
    : QueueExitReason.CallerDisconnected
}
