/** Parameters of the trace of one deployment. */
export interface PlacingTrace {
  readonly name: string
  readonly routers: number
  readonly targets: number
  /** Targets that join during the trace. */
  readonly joining: number
  /** Targets that are replaced one by one after that. */
  readonly replaced: number
  /** Distinct prompts, each sent repeatedly. */
  readonly prompts: number
  readonly promptTokens: number
  readonly requestsPerS: number
  /** Mean duration of a request in milliseconds. */
  readonly requestMs: number
  /** Number of runs, each with its own seed; a large fleet has enough requests in one. */
  readonly runs: number
}

/** Long prompts of both deployments, and of the first one at its planned size. */
export const placingTraces: readonly PlacingTrace[] = [
  {
    name: 'corrib',
    routers: 7,
    targets: 13,
    joining: 3,
    replaced: 4,
    prompts: 145,
    promptTokens: 10_000,
    requestsPerS: 30,
    requestMs: 2_000,
    runs: 5,
  },
  {
    name: 'asociacion',
    routers: 9,
    targets: 6,
    joining: 2,
    replaced: 2,
    prompts: 50,
    promptTokens: 10_000,
    requestsPerS: 10,
    requestMs: 1_500,
    runs: 5,
  },
  {
    name: 'corrib-grown',
    routers: 60,
    targets: 63,
    joining: 3,
    replaced: 4,
    prompts: 700,
    promptTokens: 10_000,
    requestsPerS: 150,
    requestMs: 2_000,
    runs: 1,
  },
]
