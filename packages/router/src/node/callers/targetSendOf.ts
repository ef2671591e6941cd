import type { Placement } from '../routing/placement.js'
import type { TargetSend } from '../targets/createTargetClient.js'
import type { Call } from './call.js'

/** Times of one send, and where a resumed stream continues. */
export interface SendOptions {
  /** Monotonic time of the send, in milliseconds. */
  readonly sentAtMs: number
  readonly headerTimeoutMs: number
  /** Last event that the caller has received. */
  readonly lastEventId: string | undefined
}

/** Returns the send of a call to the target of its placement. */
export function targetSendOf(
  call: Call,
  { target, fetchFrom }: Placement,
  { sentAtMs, headerTimeoutMs, lastEventId }: SendOptions,
): TargetSend {
  const { customer, route, signal } = call
  return {
    call,
    signal,
    headerTimeoutMs,
    options: {
      target,
      bodyBytes: call.body.length,
      remainingMs: call.deadlineAtMs - sentAtMs,
      ...(customer && { customer: customer.name }),
      ...(route.cachesPrompts && {
        priority: customer?.priority ?? route.priority,
      }),
      ...(fetchFrom && { fetchFrom }),
      ...(lastEventId !== undefined && { lastEventId }),
    },
  }
}
