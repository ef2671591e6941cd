/** Counts and times what a router does. */
export interface RouterMetrics {
  /** A request was answered; `status` is 0 where it was broken off. */
  recordRequest(route: string, status: number, seconds: number): void
  /** The head of a target's answer came. */
  recordResponseHead(service: string, seconds: number): void
  /** A request was sent to a second target. */
  recordResend(service: string, cause: string): void
  /** Returns all figures as text. */
  render(): Promise<string>
}
