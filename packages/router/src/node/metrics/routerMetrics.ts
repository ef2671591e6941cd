/** Metrics of a router. */
export interface RouterMetrics {
  /** Records a finished request; `status` is 0 if the caller disconnected. */
  recordRequest(route: string, status: number, seconds: number): void
  /** Records the time from a send to the response headers of the target. */
  recordResponseHead(service: string, seconds: number): void
  /** Records a send to a further target. */
  recordResend(service: string, cause: string): void
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>
}
