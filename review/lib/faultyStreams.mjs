// Starts the process of the model replicas.
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'

/** Resolves to the entries of the replicas and a switch of their fault. */
export function startFaultyStreams(net, onEnd, onLine) {
  const child = fork(fileURLToPath(new URL('engines.mjs', import.meta.url)), [
    net,
  ])
  onEnd(() => child.kill('SIGKILL'))
  return new Promise((resolve) => {
    child.on('message', ({ entries, line }) => {
      if (line) onLine(line)
      if (!entries) return
      resolve({
        entries,
        setFaulty(isFaulty) {
          child.send({ isFaulty })
        },
      })
    })
  })
}
