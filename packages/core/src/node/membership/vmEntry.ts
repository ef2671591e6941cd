import { z } from 'zod'
import { MemberState } from './memberState.js'

/** Kind of process that runs on a VM. */
export enum VmRole {
  Router = 'router',
  Target = 'target',
}

/** Schema of the VM list. */
export const vmListSchema = z.array(
  z.object({
    id: z.string(),
    role: z.enum(VmRole),
    /** Host and port: of the peer listener for a router, else of the target. */
    address: z.string(),
    dataCentre: z.string(),
    state: z.enum(MemberState),
  }),
)

/** One entry of the VM list. */
export type VmEntry = z.infer<typeof vmListSchema>[number]
