import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'

/** Exit code and output of a run of the tool. */
export interface CliRun {
  readonly code: number | null
  readonly stdout: string
  readonly stderr: string
}

const bin = fileURLToPath(new URL('../bin.js', import.meta.url))

/** Runs the tool as a child process. */
export async function runCli(
  args: readonly string[],
  env: Record<string, string>,
  input = '',
): Promise<CliRun> {
  const child = spawn(process.execPath, [bin, ...args], {
    env: { PATH: process.env.PATH, NO_COLOR: '1', ...env },
  })
  const exited = once(child, 'exit') as Promise<[number | null]>
  child.stdin.end(input)
  const [stdout, stderr] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
  ])
  const [code] = await exited
  return { code, stdout, stderr }
}
