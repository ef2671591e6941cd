import assert from 'node:assert/strict'
import { fork } from 'node:child_process'
import { once } from 'node:events'
import { describe, it } from 'node:test'
import { fileURLToPath } from 'node:url'

describe('the onboarding sample', () => {
  it('serves drafts from one cache, runs a sign-off once and stops cleanly', async () => {
    const main = fileURLToPath(new URL('../main.js', import.meta.url))
    const child = fork(main, [], { silent: true })
    let output = ''
    child.stdout?.on('data', (chunk: Buffer) => {
      output += chunk.toString('utf8')
    })
    const [code] = (await once(child, 'exit')) as [number | null]
    assert.equal(code, 0, output)
    const first = /router-1: 200 from (checklist-\d), cache miss/.exec(output)
    const target = first?.[1] ?? 'no target'
    assert.ok(output.includes(`router-2: 200 from ${target}, cache hit`))
    assert.match(output, /router-1: sign-off: 200\nrouter-2: sign-off: 409/)
    assert.match(output, /exit codes 0 and 0/)
  })
})
