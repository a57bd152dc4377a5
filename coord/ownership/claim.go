package ownership

import "time"

// claim is an instance's state for one right: the voters, the vote that it
// gave, the votes that it received, and the grant.
type claim struct {
	voters          voters
	endpointFencing bool
	// mayVoteFrom is when this instance may begin to vote. Before then, a vote
	// of its previous incarnation may still be valid.
	mayVoteFrom time.Duration
	// promise is this instance's own vote.
	promise promise
	// ownerLastSeen is when the owner last requested a vote.
	ownerLastSeen time.Duration
	// voteExpiry is when each voter's vote for this instance expires, its own
	// included.
	voteExpiry map[string]time.Duration
	// releasedThrough is the last message sequence whose replies no longer
	// count, because a release has moved the votes that it requested.
	releasedThrough uint64
	// highestFence is the highest fencing token seen.
	highestFence uint64

	held  bool
	grant Grant
	// recipient is the peer that the right is being handed over to, or nil.
	recipient *Peer
	// outgoing is a release that not all recipients have acknowledged.
	outgoing *outgoingRelease
	// incoming is a release to this instance, kept until it holds the right.
	incoming *incomingRelease
}

// promise is a voter's exclusive vote for one candidate until expiresAt.
type promise struct {
	to Peer
	// sequence is that of the message that last requested the vote.
	sequence  uint64
	expiresAt time.Duration
}

type outgoingRelease struct {
	release        Release
	unacknowledged map[string]bool
	expiresAt      time.Duration
}

type incomingRelease struct {
	from      Peer
	sequence  uint64
	state     []byte
	expiresAt time.Duration
}

// isHeld reports whether the right is held at now.
func (c *claim) isHeld(now time.Duration) bool {
	return c.held && now < c.grant.Until
}

func (p promise) isExpired(now time.Duration) bool { return now >= p.expiresAt }

// ordinalBits is the width of the ordinal in a fencing token.
const ordinalBits = 16

// nextFence returns a fencing token above highest that no other instance can
// generate.
func nextFence(highest uint64, ordinal uint16) uint64 {
	return (highest>>ordinalBits+1)<<ordinalBits | uint64(ordinal)
}
