/** Why a source could not be read. */
export enum SourceFault {
  /** No response, or an error that says nothing about the records. */
  Unavailable = 'unavailable',
  /** The requested records were deleted; the source must be listed again. */
  Trimmed = 'trimmed',
}
