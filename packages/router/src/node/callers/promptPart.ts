/** A part of a prompt that several requests can share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: number
}
