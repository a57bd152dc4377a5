package peer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// loanEvery is the interval at which loans are asked for and handed back.
const loanEvery = 50 * time.Millisecond

// loanTimeout bounds one call about a loan.
const loanTimeout = time.Second

// Borrower holds an instance's rights to load.
type Borrower interface {
	RequestLoan(peers []string) (residency.Loan, bool)
	AcceptLoan(loan residency.Loan)
	LoansToReturn() []residency.Loan
}

// Lender gives and takes back rights to load.
type Lender interface {
	Lend(loan residency.Loan) bool
	ReclaimLoan(loan residency.Loan)
}

// RunLoans borrows from peers for b until ctx is done.
func (e *Exchange) RunLoans(ctx context.Context, b Borrower) {
	ticker := time.NewTicker(loanEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.borrow(ctx, b)
		}
	}
}

// borrow hands back the loans that are over and asks for one that is of use. A
// call that fails is not repeated: a loan that is not handed back runs out.
func (e *Exchange) borrow(ctx context.Context, b Borrower) {
	for _, loan := range b.LoansToReturn() {
		e.call(ctx, loan, func(ctx context.Context, peer peerpb.Peer) error {
			_, err := peer.ReturnLoad(ctx, encodeLoan(loan))
			return err
		})
	}
	var peers []string
	for _, instance := range e.fleet.Usable() {
		if instance.Name != e.fleet.Self() {
			peers = append(peers, instance.Name)
		}
	}
	loan, wanted := b.RequestLoan(peers)
	if !wanted {
		return
	}
	e.call(ctx, loan, func(ctx context.Context, peer peerpb.Peer) error {
		out, err := peer.LendLoad(ctx, encodeLoan(loan))
		if err == nil && out.Granted {
			b.AcceptLoan(loan)
		}
		return err
	})
}

// call runs a call to the lender on the pool; a full pool skips it.
func (e *Exchange) call(ctx context.Context, loan residency.Loan, do func(ctx context.Context, peer peerpb.Peer) error) {
	lender, found := e.fleet.Instance(loan.Lender)
	if !found {
		return
	}
	err := e.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, loanTimeout)
		defer cancel()
		if err := do(ctx, e.link(lender.ControlAddress).client); err != nil {
			e.log.Debug().Err(err).Str("event", "loan_call_failed").Str("peer", loan.Lender).Send()
		}
	})
	if err != nil {
		e.log.Debug().Err(err).Str("event", "loan_call_skipped").Str("peer", loan.Lender).Send()
	}
}

// UseLender sets who answers calls about loans; without one none is granted.
func (s *Server) UseLender(l Lender) { s.lender = l }

// LendLoad implements peerpb.Peer.
func (s *Server) LendLoad(_ context.Context, in *peerpb.Loan) (*peerpb.LendLoadResponse, error) {
	loan, err := decodeLoan(in)
	if err != nil {
		return nil, err
	}
	return &peerpb.LendLoadResponse{Granted: s.lender != nil && s.lender.Lend(loan)}, nil
}

// ReturnLoad implements peerpb.Peer.
func (s *Server) ReturnLoad(_ context.Context, in *peerpb.Loan) (*peerpb.ReturnLoadResponse, error) {
	loan, err := decodeLoan(in)
	if err != nil {
		return nil, err
	}
	if s.lender != nil {
		s.lender.ReclaimLoan(loan)
	}
	return &peerpb.ReturnLoadResponse{}, nil
}

func encodeLoan(l residency.Loan) *peerpb.Loan {
	return &peerpb.Loan{Lender: l.Lender, Borrower: l.Borrower, Number: l.Number, Rank: l.Rank.String()}
}

func decodeLoan(in *peerpb.Loan) (residency.Loan, error) {
	rank, err := table.ParseRank(in.Rank)
	if err != nil {
		return residency.Loan{}, twirp.InvalidArgumentError("rank", err.Error())
	}
	return residency.Loan{Lender: in.Lender, Borrower: in.Borrower, Number: in.Number, Rank: rank}, nil
}
