/** Reasons why a stream cannot be forwarded any further. */
export enum StreamFault {
  /** Events after the last forwarded one are missing. */
  Gap = 'gap',
  /** A resumed stream has events without a number. */
  Unnumbered = 'unnumbered',
  /** An event exceeds `MAX_EVENT_CHARS`. */
  EventTooLarge = 'event-too-large',
}
