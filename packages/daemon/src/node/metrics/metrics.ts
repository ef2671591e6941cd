/** Counts what a daemon does. */
export interface Metrics {
  count(name: string, value?: number, tags?: Record<string, string>): void
  gauge(name: string, value: number, tags?: Record<string, string>): void
  /** Records a duration in milliseconds. */
  timing(name: string, ms: number, tags?: Record<string, string>): void
  close(): Promise<void>
}
