/** A group of targets that serve the same requests. */
export interface Service {
  readonly name: string
  /** Whether targets can fetch cached prompts from each other. */
  readonly sharesCache: boolean
}
