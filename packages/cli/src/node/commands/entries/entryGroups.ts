import { subcommands } from 'cmd-ts'
import { createOperatorCommand } from '../secrets/createOperatorCommand.js'
import { rotateOperatorCommand } from '../secrets/rotateOperatorCommand.js'
import { createEntryCommands, createEntryGroup } from './createEntryCommands.js'

/** Commands that manage customers. */
export const customerCommands = createEntryGroup({
  section: 'customers',
  noun: 'customer',
  columns: [
    { title: 'TEAM', field: 'team' },
    { title: 'WEIGHT', field: 'weight', right: true },
    { title: 'MAX IN FLIGHT', field: 'maxInFlight', right: true },
    { title: 'RATE/S', field: 'ratePerS', right: true },
  ],
})

/** Commands that manage services. */
export const serviceCommands = createEntryGroup({
  section: 'services',
  noun: 'service',
  columns: [
    { title: 'KIND', field: 'kind' },
    { title: 'TEAM', field: 'team' },
    { title: 'MAX LOAD FACTOR', field: 'maxLoadFactor', right: true },
  ],
})

/** Commands that manage rules. */
export const ruleCommands = createEntryGroup({
  section: 'rules',
  noun: 'rule',
  columns: [
    { title: 'SERVICE', field: 'service' },
    { title: 'CUSTOMER', field: 'customer' },
    { title: 'KIND', field: 'requestKind' },
    { title: 'RANK', field: 'rank', right: true },
  ],
})

/** Commands that manage teams. */
export const teamCommands = createEntryGroup({
  section: 'teams',
  noun: 'team',
  columns: [{ title: 'QUOTAS', field: 'quotas' }],
})

const operatorEntries = createEntryCommands({
  section: 'operators',
  noun: 'operator',
  columns: [
    { title: 'TEAM', field: 'team' },
    { title: 'ROLE', field: 'role' },
  ],
})

/** Commands that manage operators; the router creates their tokens. */
export const operatorCommands = subcommands({
  name: 'operators',
  description: 'List and change operators and their tokens.',
  cmds: {
    list: operatorEntries.list,
    remove: operatorEntries.remove,
    create: createOperatorCommand,
    rotate: rotateOperatorCommand,
  },
})
