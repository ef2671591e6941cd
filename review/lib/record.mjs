// Writes the record of a case.
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const COULD_NOT_RUN = 2

/** Whether the case plays its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0'

/** Creates a record that is written to `record.txt` beside the module at `url`. */
export function createRecord(url) {
  const startMs = performance.now()
  const lines = []
  return {
    startMs,
    line(text) {
      const s = ((performance.now() - startMs) / 1_000).toFixed(3)
      lines.push(`${s} ${text}`)
    },
    save() {
      const path = fileURLToPath(new URL('record.txt', url))
      writeFileSync(path, lines.join('\n') + '\n')
    },
    /** Prints the last lines, which hold the result. */
    print(count) {
      for (const line of lines.slice(-count)) console.log(line)
    },
  }
}

/** Records every request that replicas began to run. */
export function recordRuns(record, replicas) {
  const runs = replicas.flatMap(({ runs: own }) => own)
  runs.sort((a, b) => a.atMs - b.atMs)
  for (const { id, replica, atMs } of runs) {
    const s = ((atMs - record.startMs) / 1_000).toFixed(3)
    record.line(`${id} began to run at ${replica} at ${s}`)
  }
}

/**
 * Runs a case; `play` resolves to whether the rule was broken. Ends the process
 * after 110 s at the latest.
 */
export async function runCase(url, play) {
  const record = createRecord(url)
  const cleanups = []
  let code = COULD_NOT_RUN
  const timer = setTimeout(() => {
    record.line('the case took too long')
    void end()
  }, 110_000)

  async function end() {
    clearTimeout(timer)
    for (const cleanup of cleanups.reverse())
      await Promise.resolve(cleanup()).catch(() => undefined)
    record.save()
    record.print(12)
    process.exit(code)
  }

  try {
    record.line(TROUBLE ? 'with the disruption' : 'without the disruption')
    const isBroken = await play(record, (cleanup) => cleanups.push(cleanup))
    code = isBroken ? BROKEN : HELD
    record.line(isBroken ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    record.line(`the case could not run: ${error.stack}`)
  }
  await end()
}
