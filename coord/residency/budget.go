package residency

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Budget gives the workers of one instance the right to begin loads, from the
// instance's share of the store's limits and from rights that peers lend.
//
// Its rate is a token bucket as deep as its transit, which starts empty. A loan
// is the right to begin one load: the lender gives up a token and a transit
// before it answers, and has the transit back when the borrower returns it or
// when the term, the longest load and a margin have passed since it lent. The
// borrower counts the term from when it asked. So the rights of all instances
// together never exceed the store's limits, whatever messages are lost, late or
// repeated.
//
// A Budget is not safe for concurrent use.
type Budget struct {
	config   BudgetConfig
	share    Share
	tokens   float64
	filled   time.Duration
	inUse    int // loads on own rights
	claims   map[string]claim
	lent     map[Loan]time.Duration // until when at the latest
	borrowed []borrowed
	asked    ask
	asks     uint64
	returns  []Loan
}

// claim is a want of a worker or of a peer that was refused.
type claim struct {
	Want
	peer  bool // asked for by another instance
	since time.Duration
	last  time.Duration
}

// ask is the outstanding call to a peer.
type ask struct {
	loan Loan
	at   time.Duration
}

// borrowed is a loan that is not used yet.
type borrowed struct {
	loan  Loan
	until time.Duration
}

// peerClaim begins the names of peers' claims; no worker's name does.
const peerClaim = "\x00"

// Loan names the right to begin one load.
type Loan struct {
	// Lender and Borrower name instances.
	Lender, Borrower string
	// Number is unique for the borrower.
	Number uint64
	// Rank is the rank that waits at the borrower.
	Rank table.Rank
}

// Right is what a load runs on: the zero Right is the instance's own.
type Right struct{ loan Loan }

// NewBudget returns a budget without a share.
func NewBudget(config BudgetConfig) *Budget {
	return &Budget{config: config, asks: config.FirstLoan, claims: make(map[string]claim), lent: make(map[Loan]time.Duration)}
}

// SetShare changes the instance's share.
func (b *Budget) SetShare(now time.Duration, share Share) {
	b.settle(now)
	b.share = share
	b.tokens = min(b.tokens, b.depth())
}

// Take tells whether the worker may begin its load now, and on what right. Each
// true is followed by one Done. A refused claim stands for a while.
func (b *Budget) Take(now time.Duration, worker string, w Want) (Right, bool) {
	b.settle(now)
	if !b.outranked(worker, w) {
		if b.tokens >= b.needed(w.urgency()) && b.inUse+len(b.lent) < b.share.Transit {
			b.tokens--
			b.inUse++
			delete(b.claims, worker)
			return Right{}, true
		}
		if len(b.borrowed) > 0 {
			loan := b.borrowed[0].loan
			b.borrowed = b.borrowed[1:]
			delete(b.claims, worker)
			return Right{loan}, true
		}
	}
	since := now
	if standing, found := b.claims[worker]; found {
		since = standing.since
	}
	b.claims[worker] = claim{Want: w, since: since, last: now}
	return Right{}, false
}

// Withdraw ends a worker's claim.
func (b *Budget) Withdraw(worker string) { delete(b.claims, worker) }

// Done reports that the load on a right has ended, however it ended.
func (b *Budget) Done(now time.Duration, right Right) {
	b.settle(now)
	if right == (Right{}) {
		b.inUse--
		return
	}
	b.returns = append(b.returns, right.loan)
}

// Ask returns the loan to ask the lender for, if one is of use now. peers are the
// instances that can be reached; they are asked in turn.
func (b *Budget) Ask(now time.Duration, self string, peers []string) (Loan, bool) {
	b.settle(now)
	if len(peers) == 0 || len(b.borrowed) > 0 || now < b.asked.at+b.config.AskAfter {
		return Loan{}, false
	}
	rank, wanting := b.wanting(now)
	if !wanting {
		return Loan{}, false
	}
	b.asks++
	b.asked = ask{loan: Loan{Lender: peers[b.asks%uint64(len(peers))], Borrower: self, Number: b.asks, Rank: rank}, at: now}
	return b.asked.loan, true
}

// Lend answers a peer that asks: true gives up the right until it is returned.
// A right goes to work that is more urgent than what claims it here; where there
// is none left, the peer's claim holds back less urgent work for a while, so that
// the next right is there when the peer asks again.
func (b *Budget) Lend(now time.Duration, loan Loan) bool {
	b.settle(now)
	_, already := b.lent[loan]
	if already || b.claimed(loan.Rank) {
		return false
	}
	if b.tokens < b.needed(loan.Rank) || b.inUse+len(b.lent) >= b.share.Transit {
		b.claims[peerClaim+loan.Borrower] = claim{Want: Want{Rank: loan.Rank}, peer: true, since: now, last: now}
		return false
	}
	delete(b.claims, peerClaim+loan.Borrower)
	b.tokens--
	b.lent[loan] = now + b.config.LoanTerm + b.config.LoadTimeout + b.config.Margin
	b.tokens = min(b.tokens, b.depth())
	return true
}

// Lent takes in the answer to the last Ask. Other answers are void, and so is
// one that comes after the term.
func (b *Budget) Lent(now time.Duration, loan Loan) {
	b.settle(now)
	if loan != b.asked.loan {
		return
	}
	b.asked.loan = Loan{}
	until := b.asked.at + b.config.LoanTerm
	if now >= until {
		b.returns = append(b.returns, loan)
		return
	}
	b.borrowed = append(b.borrowed, borrowed{loan: loan, until: until})
}

// Returns lists the loans to hand back to their lenders, once each.
func (b *Budget) Returns(now time.Duration) []Loan {
	b.settle(now)
	returns := b.returns
	b.returns = nil
	return returns
}

// Returned takes a loan back before its time.
func (b *Budget) Returned(now time.Duration, loan Loan) {
	b.settle(now)
	delete(b.lent, loan)
}

// urgency is the rank for which the want counts: an owed one goes with the most
// urgent.
func (w Want) urgency() table.Rank {
	if w.Owed {
		return table.Urgent
	}
	return w.Rank
}

// needed returns the tokens that must be there for a load of that rank: less
// urgent ones leave the reserve, where the bucket is deep enough for it.
func (b *Budget) needed(rank table.Rank) float64 {
	return max(min(1+b.config.Reserve[rank], b.depth()), 1)
}

// depth is what the bucket holds: the transits that are not lent.
func (b *Budget) depth() float64 { return float64(b.share.Transit - len(b.lent)) }

// settle brings the state up to now.
func (b *Budget) settle(now time.Duration) {
	b.tokens = min(b.tokens+(now-b.filled).Seconds()*b.share.LoadsPerSecond, b.depth())
	b.filled = now
	for loan, until := range b.lent {
		if now >= until {
			delete(b.lent, loan)
		}
	}
	for worker, c := range b.claims {
		if now > c.last+b.config.ClaimTerm {
			delete(b.claims, worker)
		}
	}
	kept := b.borrowed[:0]
	for _, right := range b.borrowed {
		if now >= right.until {
			b.returns = append(b.returns, right.loan)
			continue
		}
		kept = append(kept, right)
	}
	b.borrowed = kept
}

// outranked tells whether another worker's claim comes first.
func (b *Budget) outranked(worker string, w Want) bool {
	for other, c := range b.claims {
		if other != worker && c.before(w) {
			return true
		}
	}
	return false
}

// wanting returns the most urgent rank whose claim has stood long enough to ask
// a peer.
func (b *Budget) wanting(now time.Duration) (table.Rank, bool) {
	rank, found := table.Patient, false
	for _, c := range b.claims {
		if !c.peer && (now >= c.since+b.config.AskAfter || c.urgency() == table.Urgent) {
			rank, found = min(rank, c.urgency()), true
		}
	}
	return rank, found
}

// claimed tells whether a worker claims a load that is as urgent as rank.
func (b *Budget) claimed(rank table.Rank) bool {
	for _, c := range b.claims {
		if !c.peer && c.urgency() <= rank {
			return true
		}
	}
	return false
}

// before orders wants: those that are owed first, then by rank, then by the
// number of requests.
func (w Want) before(other Want) bool {
	if w.Owed != other.Owed {
		return w.Owed
	}
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}
	return w.Waiting > other.Waiting
}
