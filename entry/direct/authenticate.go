package direct

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	guard "github.com/bulrushwick/bulrushwick/coord/revocation"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
	"github.com/bulrushwick/bulrushwick/entry/revocation"
)

// keyFailure is why the key of a request is not accepted. It is a label of the metric
// unauthenticated.
type keyFailure string

// Reasons why keys are not accepted.
const (
	keyMissing   keyFailure = "missing"
	keyMalformed keyFailure = "malformed"
	keyUnknown   keyFailure = "unknown"
)

// keyFailures lists all reasons, with the text of the response to the caller.
var keyFailures = map[keyFailure]string{
	keyMissing:   "the request has no key",
	keyMalformed: "the credential of the request is not one key",
	keyUnknown:   "the key of the request is not known",
}

// unconfirmedRetryAfter is the Retry-After while the configuration is not confirmed to be
// the newest: about the time of a question to each of several peers.
const unconfirmedRetryAfter = time.Second

// admitKey identifies the organisation of a request, and responds if the route needs a key
// and the request has none that may be accepted. It returns false then.
func (g *gateway) admitKey(ctx *fasthttp.RequestCtx, table *routing.Table, route *routing.Route, r *Request) bool {
	if !table.RequiresKeys() {
		return true
	}
	identify(table, r)
	refusal := g.refuseIdentity(table, route, r)
	switch {
	case refusal == nil:
		return true
	case refusal.key != "":
		g.metrics.countKeyFailure(refusal.key)
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
	default:
		setRetryAfter(ctx, refusal.retryAfter)
	}
	g.refuseEarly(ctx, refusal.status, refusal.reason)
	return false
}

// identityRefusal is the response to a request whose organisation is not known.
type identityRefusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	// key is why the key is not accepted; empty if keys are not judged at present.
	key keyFailure
}

// refuseIdentity returns why a request with or without an organisation is refused, or nil.
func (g *gateway) refuseIdentity(table *routing.Table, route *routing.Route, r *Request) *identityRefusal {
	switch {
	case !table.RequiresKeys() || route.Public:
		return nil
	case !g.revocation.Current():
		after := time.Duration((1 + returnSpread*rand.Float64()) * float64(unconfirmedRetryAfter))
		return &identityRefusal{status: fasthttp.StatusServiceUnavailable, reason: "the configuration may be outdated, and keys are not judged by it", retryAfter: after}
	case r.Organisation != nil:
		return nil
	}
	failed := keyUnknown
	switch {
	case !r.Credential.Present:
		failed = keyMissing
	case r.Credential.Malformed:
		failed = keyMalformed
	}
	return &identityRefusal{status: fasthttp.StatusUnauthorized, reason: keyFailures[failed], key: failed}
}

// identify sets the organisation of a request, and drops what the caller says of itself.
func identify(table *routing.Table, r *Request) {
	r.IdentityHeader = nil
	if r.Credential.Present && !r.Credential.Malformed {
		r.Organisation = table.Authenticate(r.Credential.Digest)
	}
}

// servingTable returns the configuration in force, or nil if requests can't be served yet:
// there is none, or it has keys and a newer one may have been published while this process
// did not run.
func (g *gateway) servingTable() *routing.Table {
	table := g.fleet.config.table()
	if table == nil || table.RequiresKeys() && !g.revocation.Started(g.configLag) {
		return nil
	}
	return table
}

// configLag returns how long a newer configuration than the one in force has been known.
func (g *gateway) configLag() time.Duration { return g.versionLag.behind(now()) }

func revocationConfig(s Settings) guard.Config {
	return guard.Config{Strict: s.StrictRevoke, MaxAge: s.RevokeAfter.Std(), HasPeers: s.hasOtherSeeds(), LagLimit: s.ConfigApplyLimit.Std()}
}

// ConfigConfirmed implements DirectorySink. A store that has returned from an older copy
// confirms nothing until the operator has written again what it lost: the configuration
// that this instance has may be the one of the copy.
func (i *Instance) ConfigConfirmed(age time.Duration) {
	if !i.fleet.workers.storeMayLackWrites(now()) {
		i.gateway.revocation.StoreConfirmed(age)
	}
}

// ConfirmationSources implements revocation.Peers. The seeds may belong to another cluster,
// which may reach the store if this one does not.
func (i *Instance) ConfirmationSources() (readers, others []string) {
	seen := map[string]bool{i.settings.ControlAddress: true}
	for _, list := range [][]string{i.cluster.Live(), i.cluster.Followers(), i.settings.Seeds} {
		for _, peer := range list {
			switch {
			case seen[peer]:
			case i.directorySync.isReader(peer):
				readers = append(readers, peer)
			default:
				others = append(others, peer)
			}
			seen[peer] = true
		}
	}
	return readers, others
}

// noConfigWanted is the version in a request for the state of a peer that wants no
// configuration.
const noConfigWanted = 1<<64 - 1

// AskConfirmation implements revocation.Peers.
func (i *Instance) AskConfirmation(ctx context.Context, peer string) (revocation.Answer, error) {
	state, err := i.cluster.FetchState(ctx, peer, &clusterpb.FetchStateRequest{ConfigVersion: noConfigWanted})
	return revocation.Answer{Version: state.GetConfigVersion(), Confirmed: state.GetConfirmed(), Age: time.Duration(state.GetConfirmedAgeNs())}, err
}

// refreshConfirmation asks a peer whether the configuration is the newest, if that is due.
func (i *Instance) refreshConfirmation() {
	table := i.fleet.config.table()
	if table == nil {
		return
	}
	// Recorded also without organisations: if they are added later, only a process that
	// has just started is to wait for a newer version.
	i.gateway.revocation.Started(i.gateway.configLag)
	if !table.RequiresKeys() {
		return
	}
	i.gateway.revocation.Refresh(func(ask func()) {
		go recovery.Run(i.gateway.reportPanic, "confirmation", ask)
	})
}
