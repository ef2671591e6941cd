import { z } from 'zod'
import { MemberState } from './memberState.js'

/** What runs on a VM. */
export enum VmRole {
  Router = 'router',
  Target = 'target',
}

/** Checks the VM list. */
export const vmListSchema = z.array(
  z.object({
    id: z.string(),
    role: z.enum(VmRole),
    /** Host and port of the peer listener, or of the target. */
    address: z.string(),
    dataCentre: z.string(),
    state: z.enum(MemberState),
  }),
)

/** One VM of the list. */
export type VmEntry = z.infer<typeof vmListSchema>[number]
