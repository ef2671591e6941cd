// Writes the record of a case, and ends it with the exit code that issue 66 names.
import { writeFileSync } from 'node:fs'

const MAX_S = 115

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Runs a case; `play` returns whether the rule was broken. */
export async function runCase(folder, play) {
  const lines = []
  const startedAtMs = performance.now()
  const write = (text) => {
    const s = ((performance.now() - startedAtMs) / 1_000).toFixed(3)
    lines.push(`${s.padStart(8)} s  ${text}`)
  }
  let fleet
  const finish = async (code) => {
    await fleet?.close()
    writeFileSync(new URL('record.txt', folder), `${lines.join('\n')}\n`)
    process.exit(code)
  }
  const stop = (why) => {
    write(`the case could not run: ${why}`)
    void finish(2)
  }
  setTimeout(() => stop(`not over after ${MAX_S} s`), MAX_S * 1_000)
  process.once('SIGTERM', () => stop('SIGTERM'))
  process.once('SIGINT', () => stop('SIGINT'))
  try {
    write(hasTrouble ? 'with the disruption' : 'without the disruption')
    const isBroken = await play({
      write,
      onFleet: (started) => {
        fleet = started
      },
    })
    const verdict = isBroken ? 'the rule was broken' : 'the rule held'
    write(verdict)
    process.stdout.write(`${verdict}\n`)
    await finish(isBroken ? 1 : 0)
  } catch (error) {
    stop(error.stack)
  }
}
