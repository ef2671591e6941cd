import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import {
  type Configuration,
  configurationSchema,
} from '../../configuration/configurationSchema.js'
import { createSaltedHash } from '../../security/saltedHash.js'
import { checkChange } from '../checkChange.js'
import { createOperatorToken, findOperator } from '../operatorToken.js'
import { Role } from '../role.js'

const token = createSaltedHash('a secret')
const START = configurationSchema.parse({
  teams: { ice: { quotas: { maxCustomers: 2, maxInFlight: 30 } }, labour: {} },
  operators: {
    'ice-viewer': { team: 'ice', role: Role.Viewer, token },
    'ice-editor': { team: 'ice', role: Role.Editor, token },
    'ice-owner': { team: 'ice', role: Role.Owner, token },
    'labour-owner': { team: 'labour', role: Role.Owner, token },
  },
  customers: {
    bridge: { team: 'ice', maxInFlight: 20 },
    firm: { team: 'labour' },
    shared: {},
  },
  services: {
    briefing: { team: 'ice', kind: 'model' },
    records: { team: 'labour', kind: 'plain' },
  },
  targets: {
    'engine-1': { service: 'briefing', address: 'h:1', dataCentre: 'a' },
    'records-1': { service: 'records', address: 'h:2', dataCentre: 'a' },
  },
})

function change(edit: (cfg: Configuration) => void): Configuration {
  const draft = structuredClone(START)
  edit(draft)
  return configurationSchema.parse(draft)
}

function findReason(
  operator: string | undefined,
  edit: (cfg: Configuration) => void,
): string | undefined {
  return checkChange(START, change(edit), operator)
}

const setWeight = (id: string) => (cfg: Configuration) => {
  const customer = cfg.customers[id]
  if (customer) customer.weight = 3
}

describe('checkChange', () => {
  it('allows a team to change its own entries', () => {
    assert.equal(findReason('ice-editor', setWeight('bridge')), undefined)
    assert.equal(
      findReason('ice-editor', (cfg) => {
        delete cfg.targets['engine-1']
      }),
      undefined,
    )
    assert.equal(
      findReason('ice-editor', (cfg) => {
        cfg.rules.urgent = { service: 'briefing', customer: 'bridge', rank: 0 }
      }),
      undefined,
    )
  })

  const denied: [string, string, (cfg: Configuration) => void, RegExp][] = [
    ['a viewer', 'ice-viewer', setWeight('bridge'), /role editor/],
    ['an unknown operator', 'nobody', setWeight('bridge'), /not in the conf/],
    ["another team's customer", 'ice-owner', setWeight('firm'), /team labour/],
    [
      'a customer without a team',
      'ice-owner',
      setWeight('shared'),
      /the fleet/,
    ],
    [
      'taking over a customer of another team',
      'ice-owner',
      (cfg) => {
        cfg.customers.firm = {
          team: 'ice',
          weight: 1,
          keys: {},
          maxInFlight: 1,
        }
      },
      /team labour/,
    ],
    [
      'moving a customer to another team',
      'ice-owner',
      (cfg) => {
        cfg.customers.bridge = { team: 'labour', weight: 1, keys: {} }
      },
      /team labour/,
    ],
    [
      "moving a target to another team's service",
      'ice-owner',
      (cfg) => {
        const target = cfg.targets['engine-1']
        if (target) target.service = 'records'
      },
      /team labour/,
    ],
    [
      'a rule for the whole fleet',
      'ice-owner',
      (cfg) => {
        cfg.rules.all = { rank: 9 }
      },
      /the fleet/,
    ],
    [
      'the default rank',
      'ice-owner',
      (cfg) => {
        cfg.defaultRank = 0
      },
      /defaultRank/,
    ],
    [
      'raising its own quota',
      'ice-owner',
      (cfg) => {
        cfg.teams.ice = { quotas: {} }
      },
      /the fleet/,
    ],
    [
      'an editor who makes itself owner',
      'ice-editor',
      (cfg) => {
        cfg.operators['ice-editor'] = { team: 'ice', role: Role.Owner, token }
      },
      /role owner/,
    ],
    [
      'an operator in another team',
      'ice-owner',
      (cfg) => {
        cfg.operators.spy = { team: 'labour', role: Role.Viewer, token }
      },
      /team labour/,
    ],
    [
      'more customers than the quota',
      'ice-owner',
      (cfg) => {
        for (const id of ['two', 'three'])
          cfg.customers[id] = {
            team: 'ice',
            weight: 1,
            keys: {},
            maxInFlight: 1,
          }
      },
      /maxCustomers: the team would have 3 of 2/,
    ],
    [
      'more requests in flight than the quota',
      'ice-owner',
      (cfg) => {
        cfg.customers.two = {
          team: 'ice',
          weight: 1,
          keys: {},
          maxInFlight: 11,
        }
      },
      /maxInFlight: the team would have 31 of 30/,
    ],
    [
      'a customer without maxInFlight when the team has that quota',
      'ice-owner',
      (cfg) => {
        cfg.customers.two = { team: 'ice', weight: 1, keys: {} }
      },
      /each of its customers needs this field/,
    ],
  ]
  for (const [name, operator, edit, reason] of denied) {
    it(`rejects ${name}`, () => {
      assert.match(findReason(operator, edit) ?? 'allowed', reason)
    })
  }

  it('allows the bootstrap owner all changes but rejects an unknown team', () => {
    assert.equal(findReason(undefined, setWeight('firm')), undefined)
    const reason = findReason(undefined, (cfg) => {
      cfg.customers.firm = { team: 'nowhere', weight: 1, keys: {} }
    })
    assert.match(reason ?? '', /no team nowhere/)
  })

  it('never lets a team change entries of others', () => {
    const id = fc.constantFrom('bridge', 'firm', 'shared', 'fresh')
    const team = fc.constantFrom('ice', 'labour', undefined)
    const edit = fc.record({ id, team, weight: fc.integer({ min: 1, max: 3 }) })
    const property = fc.property(fc.array(edit), (edits) => {
      const after = change((cfg) => {
        for (const { id, team, weight } of edits)
          cfg.customers[id] = { team, weight, keys: {}, maxInFlight: 5 }
      })
      if (checkChange(START, after, 'ice-editor') !== undefined) return
      assert.deepEqual(after.customers.firm, START.customers.firm)
      assert.deepEqual(after.customers.shared, START.customers.shared)
      assert.equal(after.customers.fresh?.team ?? 'ice', 'ice')
    })
    fc.assert(property, { seed: 12 })
  })
})

describe('findOperator', () => {
  const created = createOperatorToken('ice-owner')
  const cfg = change((draft) => {
    draft.operators['ice-owner'] = {
      team: 'ice',
      role: Role.Owner,
      token: { ...created.stored, expiresAtMs: 1_000 },
    }
  })

  it('finds the operator of a token until it expires', () => {
    assert.equal(findOperator(cfg, created.text, 999)?.team, 'ice')
    assert.equal(findOperator(cfg, created.text, 1_000), undefined)
  })

  it('rejects other strings', () => {
    const texts = ['', '/', 'ice-owner', 'ice-owner/', '__proto__/x', 'a/b/c']
    for (const text of [...texts, `${created.text}x`, `${created.text}/x`])
      assert.equal(findOperator(cfg, text, 0), undefined, text)
  })
})
