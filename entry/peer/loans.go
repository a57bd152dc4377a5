package peer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// loanInterval is the interval at which loans are requested and returned.
const loanInterval = 50 * time.Millisecond

// loanTimeout bounds one call about a loan.
const loanTimeout = time.Second

// Borrower requests and returns loans, which are permits for one load each that one
// instance lends to another. It must be safe for concurrent use.
type Borrower interface {
	RequestLoan(peers []string) (residency.Loan, bool)
	AcceptLoan(loan residency.Loan)
	LoansToReturn() []residency.Loan
}

// Lender grants and takes back loans. It must be safe for concurrent use.
type Lender interface {
	Lend(loan residency.Loan) bool
	ReclaimLoan(loan residency.Loan)
}

// RunLoans requests and returns loans for b until ctx is done.
func (e *Exchange) RunLoans(ctx context.Context, b Borrower) {
	ticker := time.NewTicker(loanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.updateLoans(ctx, b)
		}
	}
}

// updateLoans returns the loans that are no longer needed and requests one if b
// wants one. A failed call is not retried: a loan that isn't returned expires.
func (e *Exchange) updateLoans(ctx context.Context, b Borrower) {
	for _, loan := range b.LoansToReturn() {
		e.callLender(ctx, loan, func(ctx context.Context, peer peerpb.Peer) error {
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
	e.callLender(ctx, loan, func(ctx context.Context, peer peerpb.Peer) error {
		out, err := peer.LendLoad(ctx, encodeLoan(loan))
		if err == nil && out.Granted {
			b.AcceptLoan(loan)
		}
		return err
	})
}

// callLender runs a call to the lender on the pool; if the pool is full the call is
// skipped.
func (e *Exchange) callLender(ctx context.Context, loan residency.Loan, request func(ctx context.Context, peer peerpb.Peer) error) {
	lender, found := e.fleet.Instance(loan.Lender)
	if !found {
		return
	}
	err := e.pool.Submit(func() {
		ctx, cancel := context.WithTimeout(ctx, loanTimeout)
		defer cancel()
		if err := request(ctx, e.linkTo(lender.ControlAddress).client); err != nil {
			e.log.Debug().Err(err).Str("event", "loan_call_failed").Str("peer", loan.Lender).Send()
		}
	})
	if err != nil {
		e.log.Debug().Err(err).Str("event", "loan_call_skipped").Str("peer", loan.Lender).Send()
	}
}

// UseLender sets the lender that handles loan calls; without one no loan is
// granted. It must be called before the server runs.
func (s *Server) UseLender(l Lender) { s.lender = l }

// LendLoad implements peerpb.Peer: it requests a loan from the lender.
func (s *Server) LendLoad(_ context.Context, in *peerpb.Loan) (*peerpb.LendLoadResponse, error) {
	loan, err := decodeLoan(in)
	if err != nil {
		return nil, err
	}
	return &peerpb.LendLoadResponse{Granted: s.lender != nil && s.lender.Lend(loan)}, nil
}

// ReturnLoad implements peerpb.Peer: it returns a loan to the lender.
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
