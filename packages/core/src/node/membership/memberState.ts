/** What the VM list says of a VM. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
}
