/** Why a source could not be read. */
export enum SourceFault {
  /** No answer, or a refusal that says nothing of the records. */
  Unavailable = 'unavailable',
  /** The records asked for are gone; the newest ones must be listed. */
  Trimmed = 'trimmed',
}
