import { command, subcommands } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { entryCommands } from '../entries/entryCommands.js'
import { asTable, runCall } from '../runCall.js'

/** Columns of a list of targets with loads. */
export const targetColumns = [
  { title: 'TARGET', field: 'id' },
  { title: 'SERVICE', field: 'service' },
  { title: 'DATA CENTRE', field: 'dataCentre' },
  { title: 'ADDRESS', field: 'address' },
  { title: 'LOAD', field: 'load', right: true },
  { title: 'BOUND', field: 'bound', right: true },
  { title: 'DRAINING', field: 'draining' },
]

const list = command({
  name: 'list',
  description: 'List targets with their load and bound.',
  args: connectionArgs,
  handler: (args) =>
    runCall(args, { path: '/targets' }, asTable(targetColumns)),
})

const { show, set, remove } = entryCommands({
  section: 'targets',
  noun: 'target',
  columns: [],
})

/** Commands on targets. */
export const targetCommands = subcommands({
  name: 'targets',
  description: 'List and change targets.',
  cmds: { list, show, set, remove },
})
