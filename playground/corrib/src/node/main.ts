import { setTimeout as sleep } from 'node:timers/promises'
import { startSample, streamChat } from '@auburnbay/playground-shared'

/** Pause in which a caller reads a response before the next question. */
const READING_PAUSE_MS = 500

const sample = await startSample({
  settingsFile: new URL('../../settings.json', import.meta.url),
  configurationFile: new URL('../../configuration.json', import.meta.url),
  dataCentre: 'eu-west-1a',
  targets: [
    { service: 'briefing', standIn: 'engine', count: 3 },
    { service: 'charts', standIn: 'plain-service', count: 1 },
  ],
  customer: 'corrib',
})
process.stdout.write('Configuration version 1 is in force.\n')

for (const [index, url] of sample.callerUrls.entries()) {
  await sleep(READING_PAUSE_MS)
  const response = await streamChat({
    url,
    key: sample.callerKey,
    service: 'briefing',
    chat: 'voyage-17',
    kind: 'route-briefing',
    prompt: index === 0 ? 'Ice in Baffin Bay?' : 'And tomorrow?',
  })
  const { status, target, cache, text } = response
  process.stdout.write(
    `router-${index + 1}: ${status} from ${target}, cache ${cache}: ${text}\n`,
  )
}

const codes = await sample.stop()
process.stdout.write(
  `Routers stopped with exit codes ${codes.join(' and ')}.\n`,
)
process.exitCode = codes.every((code) => code === 0) ? 0 : 1
