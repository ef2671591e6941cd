import { type ChildProcess, fork } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

/** A process that has said that it is ready. */
export interface ReadyProcess<T> {
  readonly child: ChildProcess
  readonly ready: T
  /** Sends SIGTERM and returns the exit code. */
  stop(): Promise<number | null>
}

/** Starts a module as a process and waits until it is ready. */
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
      reject(new Error(`${moduleUrl} ended with ${String(code)}`))
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
