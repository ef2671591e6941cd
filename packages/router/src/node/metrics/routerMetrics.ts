/** Metrics of a router. */
export interface RouterMetrics {
  /** Records a finished request; `status` is 0 if the caller disconnected. */
  recordRequest(route: string, status: number, seconds: number): void
  /** Records the time from a send to the response headers of the target. */
  recordResponseHead(service: string, seconds: number): void
  /** Records a send to a further target. */
  recordResend(service: string, cause: string): void
  /** Records why a send was placed on its target and the prompt tokens to prefill there. */
  recordPlacement(service: string, reason: string, prefillTokens: number): void
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>
}
