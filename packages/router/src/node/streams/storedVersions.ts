/** Software versions at which streams of a service may have begun, as they outlive all routers. */
export interface StoredVersions {
  readonly versions: readonly string[]
  /** Restores of the log before the versions were written; absent if the log counts none. */
  readonly restores?: number
}
