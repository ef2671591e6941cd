/** Why a request was allowed on its target. */
export enum SelectionSource {
  /** A credit granted in advance. */
  Credit = 'credit',
  /** A grant of the coordinator for this request. */
  Grant = 'grant',
  /** This router's fallback quota, without the coordinator. */
  FallbackQuota = 'share',
  /** No fallback quota left: the target with the most headroom. */
  Forced = 'forced',
  /** No target can take the request. */
  None = 'none',
}
