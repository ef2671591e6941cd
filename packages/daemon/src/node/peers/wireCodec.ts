import { deflateRawSync, inflateRawSync } from 'node:zlib'

const dictionaryNames = [
  'group',
  'membersHash',
  'router',
  'incarnation',
  'sequence',
  'epoch',
  'used',
  'credits',
  'finished',
  'wants',
  'key',
  'hint',
  'exclude',
  'status',
  'granted',
  'loans',
  'accepted',
  'home',
  'dataCentre',
  'configurationVersion',
  'stopping',
  'digest',
  'targets',
  'customers',
  'started',
]
const dictionarySample =
  '{"status":"granted","epoch":,"granted":[],"loans":[0,0,0,0,0,0,0,0,0,0,0,0]}' +
  '{"group":"","membersHash":,"router":"","incarnation":"-0000-4000-8000-","sequence":,"epoch":,"used":[0,0,0,0],"credits":[0,0,0,0,0,0,0,0],"finished":0,"wants":[{"key":"","hint":0,"exclude":[]}]}' +
  '{"router":"","incarnation":"","dataCentre":"","configurationVersion":,"stopping":false,"digest":{"targets":{},"customers":{},"started":{}}}'

/** Deflate dictionary of typical text; both ends need the same bytes. */
const dictionary = Buffer.from(
  `${dictionaryNames.join('":')}${dictionarySample}`,
)
const deflateOptions = { dictionary, windowBits: 12, memLevel: 3 }
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024

/** Encodes peer messages: JSON, deflated with the dictionary, as base64. */
export const wireCodec = {
  serialize(value: unknown): string {
    if (value === undefined) return ''
    return deflateRawSync(JSON.stringify(value), deflateOptions).toString(
      'base64',
    )
  },
  deserialize(text: unknown): unknown {
    if (typeof text !== 'string' || text === '') return undefined
    const deflated = Buffer.from(text, 'base64')
    const inflateOptions = {
      ...deflateOptions,
      maxOutputLength: MAX_MESSAGE_BYTES,
    }
    return JSON.parse(
      inflateRawSync(deflated, inflateOptions).toString('utf8'),
    ) as unknown
  },
}
