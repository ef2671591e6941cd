/** A group of targets that answer the same requests. */
export interface Service {
  readonly name: string
  /** Connections that one target accepts from all routers. */
  readonly connectionLimit: number
  /** Whether its targets fetch cached prompts from each other. */
  readonly sharesCache: boolean
  /** Prompt tokens that a target's cache holds; 0 for a plain service. */
  readonly cacheTokens: number
}
