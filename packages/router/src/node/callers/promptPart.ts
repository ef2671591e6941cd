/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}
