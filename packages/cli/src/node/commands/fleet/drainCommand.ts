import { boolean, command, flag, positional, string } from 'cmd-ts'
import { connectionArgs } from '../connectionArgs.js'
import { createVersionFormatter, buildPath, runRequest } from '../runRequest.js'

/** Takes a target out of service, or back in. */
export const drainCommand = command({
  name: 'drain',
  description: 'Give a target no new requests; those in flight finish.',
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
    undo: flag({ long: 'undo', type: boolean, description: 'take it back in' }),
  },
  handler: ({ target, undo, ...connection }) => {
    const path = buildPath('targets', target, undo ? 'undrain' : 'drain')
    const what = undo ? `${target} takes requests again` : `Draining ${target}`
    return runRequest(
      connection,
      { method: 'POST', path },
      createVersionFormatter(what),
    )
  },
})
