package direct

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// organisationNews is the use by organisation received last from a peer.
type organisationNews struct {
	receivedAt, expiresAt time.Duration
	uses                  map[string]fairshare.Use
}

// sharesTTL is how long the shares are kept; peers send their use a few times per second.
const sharesTTL = 50 * time.Millisecond

// organisations holds the work of organisations, this instance's own and that of its
// peers, and which ranks of each service were served lately. Requests without a key count
// for an organisation with an empty name. It is safe for concurrent use.
type organisations struct {
	// rights decides which voter reports an organisation to followers.
	rights []string

	mu     sync.Mutex
	ledger *fairshare.Ledger
	// peers holds the latest news by control address.
	peers map[string]organisationNews
	// outcomes holds the outcomes by service.
	outcomes map[string]*fairshare.Outcomes
	// weights are those of the organisations in table.
	weights  map[string]float64
	table    *routing.Table
	shares   fairshare.Shares
	sharesAt time.Duration
}

func newOrganisations(s Settings) *organisations {
	rights := rightsOf(s.controlledDataCentres())
	slices.Sort(rights)
	return &organisations{
		rights: rights, ledger: fairshare.NewLedger(), peers: make(map[string]organisationNews), outcomes: make(map[string]*fairshare.Outcomes),
	}
}

// begin counts the work of a request until the returned function is called. It does
// nothing where requests have no organisations.
func (o *organisations) begin(table *routing.Table, r *Request, work time.Duration) (end func()) {
	if table == nil || !table.RequiresKeys() {
		return func() {}
	}
	name := r.organisationName()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ledger.Begin(now(), name, work)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.ledger.End(name, work)
	}
}

// organisationName returns the name of the organisation that sent the request, or "".
func (r *Request) organisationName() string {
	if r.Organisation == nil {
		return ""
	}
	return r.Organisation.Name
}

// ratio returns an organisation's use relative to its share.
func (o *organisations) ratio(at time.Duration, table *routing.Table, name string) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.currentShares(at, table).Ratio(name)
}

// countAbove returns the number of organisations above their share.
func (o *organisations) countAbove(at time.Duration, table *routing.Table) int {
	if table == nil || !table.RequiresKeys() {
		return 0
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.currentShares(at, table).CountAbove()
}

// currentShares returns the shares as of the last sharesTTL. o.mu must be held.
func (o *organisations) currentShares(at time.Duration, table *routing.Table) fairshare.Shares {
	if o.table == table && at-o.sharesAt < sharesTTL {
		return o.shares
	}
	if o.table != table {
		o.table, o.weights = table, fairshare.Weights(table.Config.Organisations)
	}
	o.shares, o.sharesAt = fairshare.NewShares(o.usesExcept(at, ""), o.weights), at
	return o.shares
}

// usesExcept returns the use by all instances but one. o.mu must be held.
func (o *organisations) usesExcept(at time.Duration, excluded string) map[string]fairshare.Use {
	uses := o.ledger.Uses(at)
	maps.DeleteFunc(o.peers, func(_ string, p organisationNews) bool { return at > p.expiresAt })
	for peer, p := range o.peers {
		if peer == excluded {
			continue
		}
		for name, use := range p.uses {
			uses[name] = uses[name].Add(use.Aged(at - p.receivedAt))
		}
	}
	return uses
}

// appendOwn appends this instance's own use to an update.
func (o *organisations) appendOwn(at time.Duration, update *clusterpb.News) {
	o.mu.Lock()
	defer o.mu.Unlock()
	appendOrganisations(update, o.ledger.Uses(at))
}

// appendExcept appends the use by all instances but the excluded one, for the
// organisations that belong to the rights held here. A follower adds up the replies of
// all voters, so each organisation must be in one of them only.
func (o *organisations) appendExcept(at time.Duration, update *clusterpb.News, excluded string, heldRights map[string]bool) {
	if len(o.rights) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	uses := o.usesExcept(at, excluded)
	maps.DeleteFunc(uses, func(name string, _ fairshare.Use) bool {
		return !heldRights[o.rights[xxhash.Sum64String(name)%uint64(len(o.rights))]]
	})
	appendOrganisations(update, uses)
}

func appendOrganisations(update *clusterpb.News, uses map[string]fairshare.Use) {
	for name, use := range uses {
		update.Organisations = append(update.Organisations, &clusterpb.OrganisationUse{
			Organisation: name, InProgressMs: clampMilliseconds(use.InProgress), RecentMs: clampMilliseconds(use.Recent),
		})
	}
}

// clampMilliseconds returns a duration in milliseconds as far as the wire format holds it.
func clampMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// apply stores the use by organisation that a peer sent.
func (o *organisations) apply(at time.Duration, peer string, update *clusterpb.News) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(update.GetOrganisations()) == 0 {
		delete(o.peers, peer)
		return
	}
	received := organisationNews{receivedAt: at, expiresAt: at + peerStateTTL(update), uses: make(map[string]fairshare.Use, len(update.GetOrganisations()))}
	for _, use := range update.GetOrganisations() {
		received.uses[use.GetOrganisation()] = fairshare.Use{
			InProgress: time.Duration(use.GetInProgressMs()) * time.Millisecond, Recent: time.Duration(use.GetRecentMs()) * time.Millisecond,
		}
	}
	o.peers[peer] = received
}

// decide decides on a request of a service.
func (o *organisations) decide(at time.Duration, policy fairshare.Policy, service string, r fairshare.Request) fairshare.Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return policy.Decide(at, r, o.outcomes[service])
}

// record counts a request of a service that was sent to a worker, or rejected for want of
// capacity.
func (o *organisations) record(at time.Duration, service string, rank int, served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomesOf(service).Record(at, rank, served)
}

// outcomesOf returns the outcomes of a service. o.mu must be held.
func (o *organisations) outcomesOf(service string) *fairshare.Outcomes {
	outcomes := o.outcomes[service]
	if outcomes == nil {
		outcomes = &fairshare.Outcomes{}
		o.outcomes[service] = outcomes
	}
	return outcomes
}
