package ownership

import "time"

// claim is what an instance knows of one right.
type claim struct {
	voters     voters
	arbitrated bool
	// settled is from when this instance may vote: an earlier run of it may have
	// voted before.
	settled time.Duration
	vote    ballot
	// ownerHeard is when the first of the voters last asked.
	ownerHeard time.Duration
	// granted is until when each voter's vote may be relied upon, its own too.
	granted map[string]time.Duration
	// givenUp is the sequence up to which no answer counts: a release has moved
	// the votes that were asked for.
	givenUp uint64
	// highest is the highest fencing number seen.
	highest uint64

	held    bool
	grant   Grant
	handing *Peer
	// outgoing is a release that its receivers have not all taken.
	outgoing *outgoing
	// incoming is a release to this instance, until it holds the right.
	incoming *incoming
}

// ballot is a voter's promise to one candidate.
type ballot struct {
	to Peer
	// sequence is that of the message that last asked for it.
	sequence uint64
	until    time.Duration
}

type outgoing struct {
	release Release
	waiting map[string]bool
	until   time.Duration
}

type incoming struct {
	from     Peer
	sequence uint64
	state    []byte
	until    time.Duration
}

// holds tells whether the right is held at now.
func (c *claim) holds(now time.Duration) bool {
	return c.held && now < c.grant.Until
}

// free tells whether the promise has run out.
func (b ballot) free(now time.Duration) bool { return now >= b.until }

// ordinalBits is the width of the ordinal in a fencing number.
const ordinalBits = 16

// nextFence returns a number above highest that no other instance can make.
func nextFence(highest uint64, ordinal uint16) uint64 {
	return (highest>>ordinalBits+1)<<ordinalBits | uint64(ordinal)
}
