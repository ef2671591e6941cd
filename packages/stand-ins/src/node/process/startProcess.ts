import { type ChildProcess, fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

/** A child process that has reported that it is ready. */
export interface ReadyProcess<T> {
  readonly child: ChildProcess
  /** The message by which it reported readiness. */
  readonly ready: T
  /** Sends SIGTERM and resolves with the exit code, or null after a signal. */
  stop(): Promise<number | null>
}

/** Starts a module as a child process and waits until it reports that it is ready. */
export async function startProcess<T>(
  moduleUrl: string,
  args: readonly string[],
): Promise<ReadyProcess<T>> {
  const child = fork(fileURLToPath(moduleUrl), [...args])
  const ready = await new Promise<T>((resolve, reject) => {
    child.once('message', (message) => {
      resolve(message as T)
    })
    child.once('exit', (code) => {
      reject(
        new Error(
          `${moduleUrl} exited with code ${String(code)} before it was ready`,
        ),
      )
    })
  })
  return {
    child,
    ready,
    stop: async () => {
      const exited = once(child, 'exit') as Promise<[number | null]>
      child.kill('SIGTERM')
      const [code] = await exited
      return code
    },
  }
}
