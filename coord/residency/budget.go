package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Budget grants the workers of one instance permits to begin loads, from the
// instance's share of the store's limits and from permits that peers lend.
//
// The rate is limited by a token bucket that starts empty and whose capacity is
// the share's number of loads in transit. A loan is a permit for one load: the
// lender gives up a token and a place in transit before it responds. It has the
// place back when the borrower returns the loan, or once LoanTTL, LoadTimeout
// and Margin have passed since it lent. The borrower counts LoanTTL from the time
// of its request. So the permits of all instances together never exceed the
// store's limits, whatever messages are lost, delayed or duplicated.
//
// A Budget is not safe for concurrent use.
type Budget struct {
	config      BudgetConfig
	share       Share
	tokens      float64
	refilledAt  time.Duration
	ownLoads    int                    // loads in progress on own permits
	claims      map[string]claim       // by worker, or peerClaimPrefix and instance
	lentUntil   map[Loan]time.Duration // when the lender takes the loan back at the latest
	borrowed    []borrowedLoan         // oldest first
	lastRequest loanRequest
	loanNumber  uint64 // of the last request
	toReturn    []Loan // to be sent back to the lenders
}

// claim is a refused load of a worker or of a peer. Until it expires, the
// loads that it precedes are deferred.
type claim struct {
	LoadDemand
	byPeer       bool
	firstRefused time.Duration
	lastRefused  time.Duration
}

// loanRequest is the latest request to a peer for a loan. Its loan is zero once
// the request has been granted.
type loanRequest struct {
	loan   Loan
	sentAt time.Duration
}

// borrowedLoan is a loan that no load has used yet.
type borrowedLoan struct {
	loan      Loan
	expiresAt time.Duration
}

// peerClaimPrefix marks the keys of peers' claims. No worker's name begins with it.
const peerClaimPrefix = "\x00"

// Loan identifies a permit for one load that one instance lends to another.
type Loan struct {
	// Lender and Borrower are the names of the instances.
	Lender, Borrower string
	// Number is unique among the borrower's loans.
	Number uint64
	// Rank is the urgency of the load for which the borrower requests it.
	Rank table.Rank
}

// Permit allows one load to run. The zero Permit comes from the instance's own
// share, any other from a loan.
type Permit struct{ loan Loan }

// NewBudget returns a budget that grants nothing until SetShare.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, loanNumber: config.FirstLoan, claims: make(map[string]claim), lentUntil: make(map[Loan]time.Duration)}
}

// SetShare sets the instance's share of the store's limits. Tokens beyond the new
// capacity are lost; loads in progress go on.
func (b *Budget) SetShare(now time.Duration, share Share) {
	b.advance(now)
	b.share = share
	b.tokens = min(b.tokens, b.capacity())
}

// Acquire returns a permit for the worker's load, or false if the load may not
// begin now. The caller calls Release once for each permit. A refused load stands
// as a claim for ClaimTTL.
func (b *Budget) Acquire(now time.Duration, worker string, demand LoadDemand) (Permit, bool) {
	b.advance(now)
	if !b.outranked(worker, demand) {
		if b.tokens >= b.requiredTokens(demand.urgency()) && b.ownLoads+len(b.lentUntil) < b.share.Transit {
			b.tokens--
			b.ownLoads++
			delete(b.claims, worker)
			return Permit{}, true
		}
		if len(b.borrowed) > 0 {
			loan := b.borrowed[0].loan
			b.borrowed = b.borrowed[1:]
			delete(b.claims, worker)
			return Permit{loan}, true
		}
	}
	firstRefused := now
	if previous, found := b.claims[worker]; found {
		firstRefused = previous.firstRefused
	}
	b.claims[worker] = claim{LoadDemand: demand, firstRefused: firstRefused, lastRefused: now}
	return Permit{}, false
}

// Withdraw drops the worker's claim, if it has one.
func (b *Budget) Withdraw(worker string) { delete(b.claims, worker) }

// Release gives a permit back when its load has ended, successfully or not.
func (b *Budget) Release(now time.Duration, permit Permit) {
	b.advance(now)
	if permit == (Permit{}) {
		b.ownLoads--
		return
	}
	b.toReturn = append(b.toReturn, permit.loan)
}

// RequestLoan returns the loan to request from its Lender, or false if none is
// needed now. self is the name of this instance. peers are the reachable
// instances; requests go to them in rotation.
func (b *Budget) RequestLoan(now time.Duration, self string, peers []string) (Loan, bool) {
	b.advance(now)
	if len(peers) == 0 || len(b.borrowed) > 0 || now < b.lastRequest.sentAt+b.config.LoanRequestInterval {
		return Loan{}, false
	}
	rank, found := b.rankToBorrow(now)
	if !found {
		return Loan{}, false
	}
	b.loanNumber++
	b.lastRequest = loanRequest{loan: Loan{Lender: peers[b.loanNumber%uint64(len(peers))], Borrower: self, Number: b.loanNumber, Rank: rank}, sentAt: now}
	return b.lastRequest.loan, true
}

// Lend decides on a peer's request: true gives up a permit until it is returned or
// the loan expires. A permit is lent only for a load that is more urgent than all
// local claims. If no permit is available, the peer's claim defers less urgent
// loads for ClaimTTL, so that the next permit is available when the peer
// requests again.
func (b *Budget) Lend(now time.Duration, loan Loan) bool {
	b.advance(now)
	_, alreadyLent := b.lentUntil[loan]
	if alreadyLent || b.hasLocalClaim(loan.Rank) {
		return false
	}
	if b.tokens < b.requiredTokens(loan.Rank) || b.ownLoads+len(b.lentUntil) >= b.share.Transit {
		b.claims[peerClaimPrefix+loan.Borrower] = claim{LoadDemand: LoadDemand{Rank: loan.Rank}, byPeer: true, firstRefused: now, lastRefused: now}
		return false
	}
	delete(b.claims, peerClaimPrefix+loan.Borrower)
	b.tokens--
	b.lentUntil[loan] = now + b.config.LoanTTL + b.config.LoadTimeout + b.config.Margin
	b.tokens = min(b.tokens, b.capacity())
	return true
}

// AcceptLoan accepts a loan that the lender has granted. It ignores any loan but
// that of the last RequestLoan, and returns to the lender one that arrives after
// LoanTTL.
func (b *Budget) AcceptLoan(now time.Duration, loan Loan) {
	b.advance(now)
	if loan != b.lastRequest.loan {
		return
	}
	b.lastRequest.loan = Loan{}
	expiresAt := b.lastRequest.sentAt + b.config.LoanTTL
	if now >= expiresAt {
		b.toReturn = append(b.toReturn, loan)
		return
	}
	b.borrowed = append(b.borrowed, borrowedLoan{loan: loan, expiresAt: expiresAt})
}

// LoansToReturn lists the loans to send back to their lenders. It lists each loan
// once.
func (b *Budget) LoansToReturn(now time.Duration) []Loan {
	b.advance(now)
	loans := b.toReturn
	b.toReturn = nil
	return loans
}

// ReclaimLoan takes back a loan that the borrower has returned. It is idempotent.
func (b *Budget) ReclaimLoan(now time.Duration, loan Loan) {
	b.advance(now)
	delete(b.lentUntil, loan)
}

// urgency returns the rank by which the load is compared: an owed load counts as
// urgent.
func (d LoadDemand) urgency() table.Rank {
	if d.Owed {
		return table.Urgent
	}
	return d.Rank
}

// requiredTokens returns the tokens that the bucket must hold for a load of the
// rank: one, and the rank's reserve as far as the capacity allows.
func (b *Budget) requiredTokens(rank table.Rank) float64 {
	return max(min(1+b.config.Reserve[rank], b.capacity()), 1)
}

// capacity returns the size of the token bucket: the share's loads in transit that
// are not lent.
func (b *Budget) capacity() float64 { return float64(b.share.Transit - len(b.lentUntil)) }

// advance refills the bucket up to now and drops loans and claims that have
// expired by then.
func (b *Budget) advance(now time.Duration) {
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.share.LoadsPerSecond, b.capacity())
	b.refilledAt = now
	for loan, expiresAt := range b.lentUntil {
		if now >= expiresAt {
			delete(b.lentUntil, loan)
		}
	}
	for worker, c := range b.claims {
		if now > c.lastRefused+b.config.ClaimTTL {
			delete(b.claims, worker)
		}
	}
	kept := b.borrowed[:0]
	for _, borrowed := range b.borrowed {
		if now >= borrowed.expiresAt {
			b.toReturn = append(b.toReturn, borrowed.loan)
			continue
		}
		kept = append(kept, borrowed)
	}
	b.borrowed = kept
}

// outranked reports whether a claim of another worker, or of a peer, goes first.
func (b *Budget) outranked(worker string, demand LoadDemand) bool {
	for other, c := range b.claims {
		if other != worker && c.before(demand) {
			return true
		}
	}
	return false
}

// rankToBorrow returns the most urgent rank among the workers' claims for which a
// loan may be requested: those that have stood for LoanRequestInterval and every
// urgent one.
func (b *Budget) rankToBorrow(now time.Duration) (table.Rank, bool) {
	rank, found := table.Patient, false
	for _, c := range b.claims {
		if !c.byPeer && (now >= c.firstRefused+b.config.LoanRequestInterval || c.urgency() == table.Urgent) {
			rank, found = min(rank, c.urgency()), true
		}
	}
	return rank, found
}

// hasLocalClaim reports whether a worker of this instance has a claim at least as
// urgent as rank.
func (b *Budget) hasLocalClaim(rank table.Rank) bool {
	for _, c := range b.claims {
		if !c.byPeer && c.urgency() <= rank {
			return true
		}
	}
	return false
}

// before orders loads: owed ones first, then by rank, then by the number of
// waiting requests.
func (d LoadDemand) before(other LoadDemand) bool {
	if d.Owed != other.Owed {
		return d.Owed
	}
	if d.Rank != other.Rank {
		return d.Rank < other.Rank
	}
	return d.Waiting > other.Waiting
}
