import { createCallerKey, ServiceKind } from '@auburnbay/core'

/** An address under the id of its target. */
export interface NamedAddress {
  readonly id: string
  readonly address: string
}

/** Operations that create the sample deployment, and a caller's key for it. */
export interface SampleConfiguration {
  readonly operations: readonly unknown[]
  readonly callerKey: string
}

/** Creates the first patch of the sample deployment. */
export function createCorribConfiguration(
  engines: readonly NamedAddress[],
  charts: readonly NamedAddress[],
): SampleConfiguration {
  const key = createCallerKey('corrib', 'bridge')
  const target = (service: string, { id, address }: NamedAddress) => ({
    op: 'add',
    path: `/targets/${id}`,
    value: { service, address, dataCentre: 'eu-west-1a' },
  })
  return {
    callerKey: key.text,
    operations: [
      {
        op: 'add',
        path: '/customers/corrib',
        value: { keys: { bridge: key.stored } },
      },
      {
        op: 'add',
        path: '/services/briefing',
        value: { kind: ServiceKind.Model },
      },
      {
        op: 'add',
        path: '/services/charts',
        value: { kind: ServiceKind.Plain },
      },
      {
        op: 'add',
        path: '/rules/route-briefings',
        value: { service: 'briefing', requestKind: 'route-briefing', rank: 0 },
      },
      ...engines.map((engine) => target('briefing', engine)),
      ...charts.map((chart) => target('charts', chart)),
    ],
  }
}
