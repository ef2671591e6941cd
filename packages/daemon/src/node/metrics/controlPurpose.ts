/** What a router's control traffic is for. */
export enum ControlPurpose {
  /** Heartbeats, digests, grants and configuration between routers. */
  Peers = 'peers',
  /** Reads and appends on the log service. */
  Log = 'log',
  VmList = 'vm-list',
  /** Polls of the targets' load. */
  Loads = 'loads',
  /** Reads of the engines' cache events. */
  CacheEvents = 'cache-events',
}
