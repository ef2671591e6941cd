/** State of a VM in the VM list. */
export enum MemberState {
  Live = 'live',
  Leaving = 'leaving',
}
