import assert from 'node:assert/strict'
import { createServer } from 'node:http'
import { after, before, describe, it } from 'node:test'
import {
  closeServer,
  formatAddress,
  listen,
  sendJson,
} from '@auburnbay/http-utils'
import { ExitCode } from '../exitCode.js'
import { type CliRun, runCli } from './runCli.js'
import { startRouter, type TestRouter } from './startRouter.js'

describe('auburnbay', () => {
  let router: TestRouter

  before(async () => {
    router = await startRouter()
    const initialOperations = [
      { op: 'add', path: '/services/briefing', value: { kind: 'model' } },
      { op: 'add', path: '/teams/ice', value: {} },
      { op: 'add', path: '/customers/corrib', value: { team: 'ice' } },
      {
        op: 'add',
        path: '/targets/engine-1',
        value: {
          service: 'briefing',
          address: '127.0.0.1:9',
          dataCentre: 'dc-1',
        },
      },
    ]
    const submitted = await patch(initialOperations, ['--base', '0'])
    assert.equal(submitted.code, ExitCode.Done, submitted.stderr)
  })

  after(() => router.stop())

  const cli = (args: string[], token?: string): Promise<CliRun> =>
    runCli(args, {
      ...router.env,
      ...(token === undefined ? {} : { AUBURNBAY_TOKEN: token }),
    })

  function patch(operations: unknown, args: string[] = []): Promise<CliRun> {
    const input = JSON.stringify(operations)
    return runCli(['config', 'patch', ...args, '-'], router.env, input)
  }

  const setRank = (value: number) => [
    { op: 'replace', path: '/defaultRank', value },
  ]

  it('reports a conflict and rebases only when no paths clash', async () => {
    const before = await cli(['config', 'get', '--json'])
    const { version } = JSON.parse(before.stdout) as { version: number }
    const base = ['--base', String(version)]
    assert.equal((await patch(setRank(3), base)).code, ExitCode.Done)
    const conflict = await patch(setRank(4), [...base, '--rebase'])
    assert.equal(conflict.code, ExitCode.Conflict)
    assert.match(
      conflict.stderr,
      new RegExp(`Version ${version + 1} is in force`),
    )
    assert.match(conflict.stderr, /changed \/defaultRank as well/)
    const rule = [{ op: 'add', path: '/rules/one', value: { rank: 1 } }]
    const offered = await patch(rule, base)
    assert.equal(offered.code, ExitCode.Conflict)
    assert.match(offered.stderr, /add --rebase/)
    const rebased = await patch(rule, [...base, '--rebase'])
    assert.equal(rebased.code, ExitCode.Done)
    assert.match(rebased.stdout, new RegExp(`version ${version + 2} is`))
  })

  it('prints only the new key to stdout', async () => {
    const created = await cli(['keys', 'create', 'corrib', 'bridge'])
    assert.match(created.stdout, /^corrib\/bridge\/\S+\n$/)
    assert.match(created.stderr, /shown once/)
    const rotated = await cli(['keys', 'rotate', 'corrib', 'bridge'])
    assert.match(rotated.stdout, /^corrib\/bridge\.2\/\S+\n$/)
    const revoked = await cli(['keys', 'revoke', 'corrib', 'bridge'])
    assert.equal(revoked.code, ExitCode.Done)
    const revokedAgain = await cli(['keys', 'revoke', 'corrib', 'bridge'])
    assert.equal(revokedAgain.code, ExitCode.Failed)
    assert.match(revokedAgain.stderr, /has no key bridge/)
  })

  it('limits an operator’s token to its role', async () => {
    const args = ['operators', 'create', 'anna', '--team', 'ice']
    const created = await cli([...args, '--role', 'viewer'])
    const token = created.stdout.trim()
    const list = await cli(['customers', 'list'], token)
    assert.match(list.stdout, /^ID\s+TEAM[^\n]*\ncorrib\s+ice/)
    const denied = await cli(['customers', 'remove', 'corrib'], token)
    assert.equal(denied.code, ExitCode.Forbidden)
    assert.match(denied.stderr, /needs the role editor/)
  })

  const views: [string[], RegExp][] = [
    [['config', 'status'], /router-1 +dc-1 +\d+\nVersion \d+ is in force on/],
    [['config', 'history'], /\/services\/briefing/],
    [['config', 'diff', '--from', '0', '--to', '1'], /add \/teams\/ice/],
    [['routers'], /router-1 +dc-1/],
    [['targets', 'list'], /engine-1 +briefing +dc-1 +127.0.0.1:9 +0/],
    [['services', 'list'], /briefing +model/],
    [['teams', 'list'], /ice/],
    [['chats', 'where', 'voyage'], /voyage +briefing +engine-1/],
    [['explain', '--service', 'briefing'], /chosen {2}engine-1/],
    [['top', '--count', '1'], /briefing +engine-1 +0 +\S+ +\.{20}/],
  ]
  describe('views', { concurrency: 4 }, () => {
    for (const [args, expected] of views) {
      it(`shows ${args.join(' ')}`, async () => {
        const run = await cli(args)
        assert.equal(run.code, ExitCode.Done, run.stderr)
        assert.match(run.stdout, expected)
      })
    }
  })

  it('drains a target and puts it back into service', async () => {
    const drained = await cli(['drain', 'engine-1'])
    assert.match(drained.stdout, /^Draining engine-1; version \d+ is in force/)
    const undone = await cli(['drain', '--undo', 'engine-1'])
    assert.match(undone.stdout, /^engine-1 takes requests again/)
  })

  it('prints JSON for scripts', async () => {
    const run = await cli(['targets', 'list', '--json'])
    assert.equal((JSON.parse(run.stdout) as unknown[]).length, 1)
    const failed = await cli(['customers', 'show', 'nobody', '--json'])
    assert.equal(failed.code, ExitCode.Failed)
    assert.match(failed.stdout, /"not-found"/)
  })

  it('validates a patch', async () => {
    const validate = (operations: unknown): Promise<CliRun> => {
      const input = JSON.stringify(operations)
      return runCli(['config', 'validate', '-'], router.env, input)
    }
    assert.equal((await validate(setRank(5))).code, ExitCode.Done)
    const wrong = await validate(setRank(50))
    assert.equal(wrong.code, ExitCode.Failed)
    assert.match(wrong.stdout, /refused \(invalid\): \/defaultRank/)
  })

  describe('exit codes', { concurrency: 4 }, () => {
    it('reports an invalid command line', async () => {
      const run = await cli(['config', 'patch'])
      assert.equal(run.code, ExitCode.Usage)
      assert.match(run.stderr, /FILE/)
      const file = await cli(['config', 'patch', '/nowhere.json'])
      assert.equal(file.code, ExitCode.Usage)
      assert.match(file.stderr, /name a readable JSON file/)
    })

    it('reports an invalid token without printing it', async () => {
      const run = await cli(['config', 'get'], 'a-wrong-token')
      assert.equal(run.code, ExitCode.Forbidden)
      assert.doesNotMatch(run.stderr, /a-wrong-token/)
    })

    it('reports a router that does not respond', async () => {
      const args = ['config', 'get', '--admin', 'http://127.0.0.1:1']
      const run = await cli(args)
      assert.equal(run.code, ExitCode.Unreachable)
      assert.match(run.stderr, /check --admin/)
    })

    it('shows progress during a long wait and exits with Unknown', async () => {
      const server = createServer((_req, res) => {
        const error = { code: 'unknown', message: 'ask for patch p' }
        setTimeout(() => {
          sendJson(res, 504, { error })
        }, 2_500)
      })
      const address = await listen(server, { host: '127.0.0.1', port: 0 })
      const admin = `http://${formatAddress(address)}`
      const run = await cli(['config', 'get', '--admin', admin])
      assert.equal(run.code, ExitCode.Unknown)
      assert.match(run.stderr, /Still waiting for the router/)
      assert.match(run.stderr, /ask for patch p/)
      await closeServer(server)
    })

    it('prints help with examples', async () => {
      const run = await cli(['config', 'patch', '--help'])
      assert.equal(run.code, ExitCode.Done)
      assert.match(run.stdout, /--rebase change\.json/)
    })
  })
})
