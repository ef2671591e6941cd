/** Why a target does not get a request. */
export enum TargetExclusion {
  /** Its entry says that it leaves. */
  Draining = 'draining',
  /** It has said in a response that it leaves. */
  Leaving = 'leaving',
  /** The operator evacuates its data centre. */
  Evacuated = 'evacuated',
  /** It runs another software version than the one that began the stream. */
  Version = 'version',
  /** The request was sent to it before. */
  Tried = 'tried',
  /** It has just started, and this router's share of its requests is used up. */
  Cold = 'cold',
  /** It has named a limit or asked for a pause. */
  Limit = 'limit',
  /** Its last requests failed. */
  Unhealthy = 'unhealthy',
  /** It does not respond to this router's requests. */
  Stalled = 'stalled',
  /** It has more than its part of the load. */
  OverBound = 'over-bound',
}
