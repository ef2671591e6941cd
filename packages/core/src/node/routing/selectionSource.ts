/** What let a request take its place. */
export enum SelectionSource {
  /** A credit that the home lent in advance. */
  Credit = 'credit',
  /** A grant of the home. */
  Grant = 'grant',
  /** This router's share of the free places, without the home. */
  Share = 'share',
  /** Neither home nor share: the least loaded target by the digests. */
  Forced = 'forced',
  /** No target can take the request. */
  None = 'none',
}
