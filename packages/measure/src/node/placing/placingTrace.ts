/** A trace of one deployment. */
export interface PlacingTrace {
  readonly name: string
  readonly routers: number
  readonly targets: number
  /** Targets that join in the middle of the trace. */
  readonly joining: number
  /** Targets that leave after that. */
  readonly leaving: number
  /** Prompts that return. */
  readonly prompts: number
  readonly promptTokens: number
  readonly requestsPerS: number
  /** Mean time that a request takes, in milliseconds. */
  readonly requestMs: number
  /** Times that it is played, each with another seed; a large fleet has requests enough. */
  readonly plays: number
}

/** The long prompts of both deployments, and of the first one once it has grown. */
export const placingTraces: readonly PlacingTrace[] = [
  {
    name: 'corrib',
    routers: 7,
    targets: 13,
    joining: 3,
    leaving: 4,
    prompts: 145,
    promptTokens: 10_000,
    requestsPerS: 30,
    requestMs: 2_000,
    plays: 5,
  },
  {
    name: 'asociacion',
    routers: 9,
    targets: 6,
    joining: 2,
    leaving: 2,
    prompts: 50,
    promptTokens: 10_000,
    requestsPerS: 10,
    requestMs: 1_500,
    plays: 5,
  },
  {
    name: 'corrib-grown',
    routers: 60,
    targets: 63,
    joining: 3,
    leaving: 4,
    prompts: 700,
    promptTokens: 10_000,
    requestsPerS: 150,
    requestMs: 2_000,
    plays: 1,
  },
]
