import { setTimeout as sleep } from 'node:timers/promises'

/** Milliseconds that a router's parts may take to stop once no caller waits. */
const STOP_TIMEOUT_MS = 5_000

/** A part that owns a task or a socket. */
export interface Stoppable {
  stop(): unknown
}

/** A part that holds what is still to be sent. */
export interface Closable {
  close(): Promise<void>
}

/** Stops parts and then closes exporters; gives up after `STOP_PARTS_MS`. */
export async function stopComponents(
  parts: readonly Stoppable[],
  exporters: readonly Closable[],
): Promise<void> {
  const stopped = Promise.all(parts.map((part) => Promise.resolve(part.stop())))
  const closed = stopped.then(() =>
    Promise.all(exporters.map((exporter) => exporter.close())),
  )
  const late = sleep(STOP_TIMEOUT_MS, undefined, { ref: false })
  await Promise.race([closed, late])
}
