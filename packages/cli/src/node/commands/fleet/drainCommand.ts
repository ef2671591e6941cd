import { boolean, command, flag, positional, string } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createVersionFormatter, buildPath, runRequest } from '../runRequest.js'

/** Drains a target or puts it back into service. */
export const drainCommand = command({
  name: 'drain',
  description: 'Send a target no new requests; those in flight finish.',
  examples: [
    { description: 'before maintenance', command: 'auburnbay drain engine-3' },
    {
      description: 'back into service',
      command: 'auburnbay drain --undo engine-3',
    },
  ],
  args: {
    ...connectionArgs,
    target: positional({ type: string, displayName: 'TARGET' }),
    undo: flag({
      long: 'undo',
      type: boolean,
      description: 'put the target back into service',
    }),
  },
  handler: ({ target, undo, ...connection }) => {
    const path = buildPath('targets', target, undo ? 'undrain' : 'drain')
    const change = undo
      ? `${target} takes requests again`
      : `Draining ${target}`
    return runRequest(
      connection,
      { method: 'POST', path },
      createVersionFormatter(change),
    )
  },
})
