/** Why a stream cannot be passed on any further. */
export enum StreamFault {
  /** Events between the last one passed on and the next are missing. */
  Gap = 'gap',
  /** A resumed stream does not number its events. */
  Unnumbered = 'unnumbered',
  /** One event is larger than the limit. */
  EventTooLarge = 'event-too-large',
}
