import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import {
  CONFIGURATION_SCHEMA,
  OUTCOME_WINDOW_RECORDS,
} from '../../constants.js'
import { applyLogPage } from '../applyLogPage.js'
import { ConfigurationProblemKind } from '../configurationProblem.js'
import {
  type ConfigurationState,
  createConfigurationState,
} from '../configurationState.js'
import { PatchOutcomeKind } from '../patchOutcome.js'

function patch(patchId: string, baseVersion: number, schema = 1) {
  const operations = [{ op: 'replace', path: '/defaultRank', value: 1 }]
  return {
    type: 'patch',
    schema,
    patchId,
    baseVersion,
    author: 'x',
    operations,
  }
}

function page(values: unknown[], first = 0, logId = 'log-1') {
  const records = values.map((value, index) => ({
    offset: first + index,
    value,
  }))
  return {
    logId,
    firstOffset: first,
    nextOffset: first + values.length,
    records,
  }
}

const three = [patch('a', 0), patch('b', 1), patch('c', 2)]

function readThree(): ConfigurationState {
  return applyLogPage(createConfigurationState(), page(three)).state
}

describe('applyLogPage', () => {
  it('keeps the version and reports a replaced log', () => {
    const { state } = applyLogPage(readThree(), page([patch('x', 0)], 0, 'two'))
    assert.equal(state.version, 3)
    assert.equal(state.problem?.kind, ConfigurationProblemKind.LogReplaced)
    const back = applyLogPage(state, page([...three, patch('d', 3)])).state
    assert.equal(back.version, 4)
    assert.equal(back.problem, undefined)
  })

  it('keeps the version when the log is truncated and then grows again', () => {
    const truncated = applyLogPage(readThree(), page(three.slice(0, 2))).state
    assert.equal(truncated.version, 3)
    assert.equal(truncated.problem?.kind, ConfigurationProblemKind.LogShortened)
    const others = [...three.slice(0, 2), patch('x', 2), patch('y', 3)]
    const grown = applyLogPage(truncated, page(others)).state
    assert.equal(grown.version, 3)
    assert.equal(grown.problem?.kind, ConfigurationProblemKind.LogRewritten)
  })

  it('detects a log that was rewritten between two reads', () => {
    const others = [...three.slice(0, 2), patch('x', 2), patch('y', 3)]
    const { state } = applyLogPage(readThree(), page(others))
    assert.equal(state.version, 3)
    assert.equal(state.problem?.kind, ConfigurationProblemKind.LogRewritten)
  })

  it('ignores a page without the last record read', () => {
    const records = [{ offset: 3, value: patch('d', 3) }]
    const next = { ...page(three), nextOffset: 4, records }
    assert.equal(applyLogPage(readThree(), next).state.version, 3)
  })

  it('keeps the version when retention removed the next record', () => {
    const { state } = applyLogPage(readThree(), page([patch('z', 9)], 9))
    assert.equal(state.version, 3)
    assert.equal(state.problem?.kind, ConfigurationProblemKind.RecordsMissing)
  })

  it('stops before a record with a newer schema', () => {
    const newer = { type: 'schema', schema: CONFIGURATION_SCHEMA + 1 }
    const all = page([...three, newer, patch('d', 3)])
    const { state } = applyLogPage(createConfigurationState(), all)
    assert.equal(state.version, 3)
    assert.equal(state.nextOffset, 3)
    assert.equal(state.problem?.kind, ConfigurationProblemKind.NewerSchema)
  })

  it('skips records that are not patches', () => {
    const mixed = page([null, 'x', { type: 'other' }, patch('a', 0), 7])
    const { state } = applyLogPage(createConfigurationState(), mixed)
    assert.equal(state.version, 1)
    assert.equal(state.nextOffset, 5)
  })

  it('drops outcomes outside the window without applying a patch twice', () => {
    const fill = Array.from({ length: OUTCOME_WINDOW_RECORDS }, () => null)
    const again = page([patch('a', 0), patch('b', 7), ...fill, patch('a', 0)])
    const result = applyLogPage(createConfigurationState(), again)
    assert.equal(result.state.version, 1)
    assert.equal(result.state.outcomes.size, 1)
    assert.equal(result.outcomes.at(-1)?.kind, PatchOutcomeKind.Conflict)
  })

  it('gives the same digest for every split of the log into pages', () => {
    const whole = readThree()
    let state = createConfigurationState()
    for (const length of [1, 2, 3])
      state = applyLogPage(state, page(three.slice(0, length))).state
    assert.equal(state.digest, whole.digest)
    assert.deepEqual(state, whole)
  })
})
