import { setTimeout as sleep } from 'node:timers/promises'

/** Timeout of stopping all components once no caller waits, in milliseconds. */
const STOP_TIMEOUT_MS = 5_000

/** A component that owns a task or a socket. */
export interface Stoppable {
  stop(): unknown
}

/** An exporter that flushes its buffer when it is closed. */
export interface Closable {
  close(): Promise<void>
}

/**
 * Stops components and then closes exporters; returns after `STOP_TIMEOUT_MS`
 * at the latest.
 */
export async function stopComponents(
  components: readonly Stoppable[],
  exporters: readonly Closable[],
): Promise<void> {
  const stopped = Promise.all(
    components.map((component) => Promise.resolve(component.stop())),
  )
  const closed = stopped.then(() =>
    Promise.all(exporters.map((exporter) => exporter.close())),
  )
  const timeout = sleep(STOP_TIMEOUT_MS, undefined, { ref: false })
  await Promise.race([closed, timeout])
}
