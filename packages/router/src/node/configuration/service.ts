/** A group of targets that answer the same requests. */
export interface Service {
  readonly name: string
  /** Whether its targets fetch cached prompts from each other. */
  readonly sharesCache: boolean
}
