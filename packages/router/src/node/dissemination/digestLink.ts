/** How the sender of a digest stands to its receiver, which decides whose load the digest sums up. */
export enum DigestLink {
  /** An equal: the sender, and the members of an aggregator. */
  Peer = 0,
  /** The receiver is the sender's aggregator: the sender, and members of its own. */
  ToAggregator = 1,
  /** The sender is the receiver's aggregator: the whole fleet but the receiver. */
  ToMember = 2,
  /** An answer to a router that is no equal, or a former aggregator: it needs no answer. */
  Reply = 3,
  /** Asks a router that may be lost for an answer. */
  Probe = 4,
}
