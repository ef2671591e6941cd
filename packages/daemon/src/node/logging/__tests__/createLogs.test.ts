import assert from 'node:assert/strict'
import { describe, it, mock } from 'node:test'
import { LogFormat } from '../../settings/logFormat.js'
import { createLogs } from '../createLogs.js'

function capture(run: () => void): string {
  let output = ''
  const writeMock = mock.method(process.stderr, 'write', (text: unknown) => {
    output += String(text)
    return true
  })
  run()
  writeMock.mock.restore()
  return output
}

describe('createLogs', () => {
  it('writes one JSON object per line with the component', () => {
    const output = capture(() => {
      const logs = createLogs({ format: LogFormat.Json, level: 3 })
      logs.forComponent('admin').info('Version 3 is in force.')
      logs.forComponent('peers').warn('Router router-2 does not respond.')
      logs.forComponent('peers').debug('This line is below the log level.')
    })
    const lines = output.trim().split('\n')
    const entries = lines.map((line) => JSON.parse(line) as object)
    assert.equal(entries.length, 2)
    const [first] = entries as { at: string; level: string; part: string }[]
    assert.deepEqual(first, {
      at: first?.at,
      level: 'info',
      part: 'admin',
      message: 'Version 3 is in force.',
    })
    assert.match(first.at, /^\d{4}-\d\d-\d\dT/)
  })

  it('writes human-readable lines with the component', () => {
    const output = capture(() => {
      const logs = createLogs({ format: LogFormat.Human, level: 3 })
      logs.forComponent('admin').info('Version 3 is in force.')
    })
    assert.match(output, /admin.*Version 3 is in force\./)
  })
})
