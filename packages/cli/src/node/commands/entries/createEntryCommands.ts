import { command, positional, string, subcommands } from 'cmd-ts'
import { ExitCode } from '../../exitCode.js'
import { messages } from '../../output/messages.js'
import type { Column } from '../../output/table.js'
import { connectionArgs } from '../connectionArgs.js'
import { readJsonFile } from '../readJsonFile.js'
import {
  createEntryTableFormatter,
  createVersionFormatter,
  buildPath,
  runRequest,
} from '../runRequest.js'

/** Options for {@link createEntryCommands}. */
export interface EntryCommandsOptions {
  /** Name of the section, such as `customers`. */
  readonly section: string
  /** Name of one entry, such as `customer`. */
  readonly noun: string
  readonly columns: readonly Column[]
}

const id = positional({ type: string, displayName: 'ID' })

/**
 * Creates the commands that list, show, set and remove entries of a section.
 */
export function createEntryCommands(options: EntryCommandsOptions) {
  const { section, noun, columns } = options

  const list = command({
    name: 'list',
    description: `List every ${noun}.`,
    args: connectionArgs,
    handler: (args) =>
      runRequest(
        args,
        { path: `/${section}` },
        createEntryTableFormatter(columns),
      ),
  })
  const show = command({
    name: 'show',
    description: `Show one ${noun} as JSON.`,
    args: { ...connectionArgs, id },
    handler: (args) => runRequest(args, { path: buildPath(section, args.id) }),
  })
  const set = command({
    name: 'set',
    description: `Create or replace a ${noun}; keys and tokens stay.`,
    examples: [
      {
        description: 'read from standard input',
        command: `auburnbay ${section} set ID - < ${noun}.json`,
      },
    ],
    args: {
      ...connectionArgs,
      id,
      file: positional({ type: string, displayName: 'FILE' }),
    },
    handler: async ({ id: entry, file, ...connection }) => {
      const body = readJsonFile(file)
      if (body.isErr()) {
        messages.error(`${body.error}.`)
        process.exitCode = ExitCode.Usage
        return
      }
      const path = buildPath(section, entry)
      const req = { method: 'PUT' as const, path, body: body.value }
      await runRequest(
        connection,
        req,
        createVersionFormatter(`Set ${noun} ${entry}`),
      )
    },
  })
  const remove = command({
    name: 'remove',
    description: `Remove a ${noun}.`,
    args: { ...connectionArgs, id },
    handler: ({ id: entry, ...connection }) =>
      runRequest(
        connection,
        { method: 'DELETE', path: buildPath(section, entry) },
        createVersionFormatter(`Removed ${noun} ${entry}`),
      ),
  })
  return { list, show, set, remove }
}

/** Creates a command group that consists of the entry commands. */
export function createEntryGroup(options: EntryCommandsOptions) {
  return subcommands({
    name: options.section,
    description: `List and change every ${options.noun}.`,
    cmds: createEntryCommands(options),
  })
}
