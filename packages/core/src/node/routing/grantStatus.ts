/** Outcome of a grant request. */
export enum GrantStatus {
  Granted = 'granted',
  /** The coordinator is still collecting the usage of other routers. */
  Collecting = 'collecting',
  /** The requested router does not consider itself the coordinator. */
  NotCoordinator = 'not-home',
  /** The two routers have different lists of the group's members. */
  ViewsDiffer = 'views-differ',
  /** An older message, or an epoch that a newer coordinator has ended. */
  Stale = 'stale',
}
