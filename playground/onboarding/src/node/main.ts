import { setTimeout as sleep } from 'node:timers/promises'
import { startSample, streamChat } from '@auburnbay/playground-shared'
import { sendSignOff } from './sendSignOff.js'

/** Pause in which a caller reads a response before the next question. */
const READING_PAUSE_MS = 500

const sample = await startSample({
  settingsFile: new URL('../../settings.json', import.meta.url),
  configurationFile: new URL('../../configuration.json', import.meta.url),
  dataCentre: 'bogota-1',
  targets: [
    { service: 'checklist', standIn: 'engine', count: 6 },
    { service: 'records', standIn: 'plain-service', count: 4 },
  ],
  customer: 'large-firm',
})
process.stdout.write('Configuration version 1 is in force.\n')

for (const [index, url] of sample.callerUrls.entries()) {
  await sleep(READING_PAUSE_MS)
  const { status, target, cache } = await streamChat({
    url,
    key: sample.callerKey,
    service: 'checklist',
    chat: 'starter-42',
    kind: 'full-draft',
    prompt: index === 0 ? 'Draft the checklist.' : 'Explain step 3.',
  })
  process.stdout.write(
    `router-${index + 1}: ${status} from ${target}, cache ${cache}\n`,
  )
}

// The key begins with the time of its first use, in milliseconds.
const idempotencyKey = `${Date.now()}-starter-42-step-3`
for (const [index, url] of sample.callerUrls.entries()) {
  const signOff = { starter: 'starter-42', step: '3', idempotencyKey }
  const status = await sendSignOff(url, sample.callerKey, signOff)
  process.stdout.write(`router-${index + 1}: sign-off: ${status}\n`)
}

const codes = await sample.stop()
process.stdout.write(
  `Routers stopped with exit codes ${codes.join(' and ')}.\n`,
)
process.exitCode = codes.every((code) => code === 0) ? 0 : 1
