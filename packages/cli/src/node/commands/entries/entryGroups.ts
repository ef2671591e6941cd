import { subcommands } from 'cmd-ts'
import { createOperatorCommand } from '../secrets/createOperatorCommand.js'
import { rotateOperatorCommand } from '../secrets/rotateOperatorCommand.js'
import { createEntryCommands, createEntryGroup } from './createEntryCommands.js'

/** Commands on customers. */
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

/** Commands on services. */
export const serviceCommands = createEntryGroup({
  section: 'services',
  noun: 'service',
  columns: [
    { title: 'KIND', field: 'kind' },
    { title: 'TEAM', field: 'team' },
    { title: 'MAX LOAD FACTOR', field: 'maxLoadFactor', right: true },
  ],
})

/** Commands on rules. */
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

/** Commands on teams. */
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

/** Commands on operators; their tokens come from the router. */
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
