/** What a target says of itself in the head of a response. */
export interface TargetStatement {
  /** Whether it leaves and wants no new requests. */
  readonly leaving: boolean
  /** Seconds for which it wants no requests from this router; not a number if it cannot be read, absent if it names none. */
  readonly pauseS?: number
  /** Requests per second that it takes from the whole fleet; absent if it names no limit. */
  readonly requestLimitPerS?: number
  /** Refusals per second beyond which it falls over; absent if it bears any. */
  readonly maxRefusalsPerS?: number
  /** Whether an absent limit means that it has none; a refusal may lack them. */
  readonly namesAllLimits: boolean
}
