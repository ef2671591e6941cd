/** Records metrics of a daemon. */
export interface Metrics {
  /** Increments a counter by `value`, 1 by default. */
  count(name: string, value?: number, tags?: Record<string, string>): void
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: Record<string, string>): void
  /** Records a duration in milliseconds. */
  timing(name: string, ms: number, tags?: Record<string, string>): void
  /** Sends buffered metrics and closes the socket. */
  close(): Promise<void>
}
