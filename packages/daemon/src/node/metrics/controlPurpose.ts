/** Purpose of a router's control traffic. */
export enum ControlPurpose {
  /** Heartbeats, digests, grants and configuration between routers. */
  Peers = 'peers',
  /** Reads and appends on the log service. */
  Log = 'log',
  /** Polls of the VM list. */
  VmList = 'vm-list',
  /** Polls of the targets' load. */
  Loads = 'loads',
  /** Reads of the engines' cache events. */
  CacheEvents = 'cache-events',
}
