/** What a router knows of its fleet. */
export interface FleetStatus {
  readonly livePeers: number
  readonly lostPeers: number
  readonly aggregators: number
  readonly members: number
  /** Seconds since the oldest report of load that counts. */
  readonly loadAgeS: number
}

/** What a router knows of targets that get fewer requests, or none. */
export interface TargetStatus {
  readonly evacuatedDataCentres: number
  readonly coldTargets: number
}

/** What the callers of a router make it hold. */
export interface CallerStatus {
  readonly callerConnections: number
  readonly openRequests: number
  readonly requestBytes: number
}

/** What targets say that keeps requests away from them. */
export enum StatementKind {
  Leaving = 'leaving',
  Pause = 'pause',
}

/** Metrics of a router. */
export interface RouterMetrics {
  /** Records a finished request; `status` is 0 if the caller disconnected. */
  recordRequest(route: string, status: number, seconds: number): void
  /** Records the time from a send to the response headers of the target. */
  recordResponseHead(service: string, seconds: number): void
  /** Records the age of the target list as a request is written; infinite if unknown. */
  recordTargetListAge(seconds: number): void
  /** Records a send to a further target. */
  recordResend(service: string, cause: string): void
  /** Records why a send was placed on its target and the prompt tokens to prefill there. */
  recordPlacement(service: string, reason: string, prefillTokens: number): void
  /** Records that a target said that it leaves or wants rest. */
  recordStatement(kind: StatementKind): void
  /** Records the decision on a request that was delayed or refused under overload. */
  recordAdmission(service: string, action: string): void
  /** Records a send that was not written, as its target takes no requests. */
  recordWithheld(service: string): void
  /** Records an exception of this router that failed a request or a task. */
  recordException(): void
  /** Exports what `read` returns whenever the metrics are read. */
  watchFleet(read: () => FleetStatus): void
  /** Records a connection that was closed because of a bound. */
  recordConnectionClosed(server: string, reason: string): void
  /** Exports what `read` returns whenever the metrics are read. */
  watchCallers(read: () => CallerStatus): void
  /** Exports what `read` returns whenever the metrics are read. */
  watchTargets(read: () => TargetStatus): void
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>
}
