/** What targets of a service take just after a start. */
export interface ColdStart {
  /** Milliseconds for which a target stays cold after its start. */
  readonly ms: number
  /** Requests per second that a cold target takes from the whole fleet. */
  readonly requestsPerS: number
}

/** A group of targets that serve the same requests. */
export interface Service {
  readonly name: string
  /** Whether targets can fetch cached prompts from each other. */
  readonly sharesCache: boolean
  /** Absent if targets take as many requests after a start as later. */
  readonly coldStart?: ColdStart
}
