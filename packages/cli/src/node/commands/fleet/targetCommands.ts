import { command, subcommands } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createEntryCommands } from '../entries/createEntryCommands.js'
import { createTableFormatter, runRequest } from '../runRequest.js'

/** Columns of a table of targets with their loads. */
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
    runRequest(args, { path: '/targets' }, createTableFormatter(targetColumns)),
})

const { show, set, remove } = createEntryCommands({
  section: 'targets',
  noun: 'target',
  columns: [],
})

/** Commands that manage targets. */
export const targetCommands = subcommands({
  name: 'targets',
  description: 'List and change targets.',
  cmds: { list, show, set, remove },
})
