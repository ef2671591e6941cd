/** How a home router took a request for places. */
export enum GrantStatus {
  Granted = 'granted',
  /** The home still collects the counts of other routers. */
  Collecting = 'collecting',
  /** The router asked is not the home in its own view. */
  NotCoordinator = 'not-home',
  /** The two routers know different members of the group. */
  ViewsDiffer = 'views-differ',
  /** An older message, or an epoch that a newer home has ended. */
  Stale = 'stale',
}
