/** Why a request left the queue without its turn. */
export enum LeaveReason {
  Shed = 'shed',
  Expired = 'expired',
  CallerGone = 'caller-gone',
}
