package keys

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// ownersAsked bounds the instances that are asked to run one send: the owner by
// this instance's view, and the next where the first proves not to be it.
const ownersAsked = 2

// Send serves a call that carries a key, by whichever instance owns it. Its
// error is a *call.Error.
func (k *Keys) Send(ctx context.Context, r *call.Request) (*call.Response, error) {
	key, home, err := k.locate(r)
	if err != nil {
		return nil, err
	}
	last := error(refused(fasthttp.StatusServiceUnavailable, "key_owner_unknown", fmt.Errorf("no instance of %q is known", home)))
	owners := k.fleet.KeyOwners(home, key.Shard())
	for _, owner := range owners[:min(len(owners), ownersAsked)] {
		r.Attempt++
		var answer *call.Response
		if owner.Name == k.fleet.Self() {
			answer, err = k.Serve(ctx, r)
		} else {
			answer, err = k.remote.DoKeyed(ctx, owner.PeerAddress, r)
		}
		if err == nil {
			return answer, nil
		}
		last = err
		if !askNext(err) {
			break
		}
	}
	return nil, last
}

// askNext tells whether err proves that the instance asked neither ran the call
// nor knows of the key.
func askNext(err error) bool {
	var failed *call.Error
	if !errors.As(err, &failed) || failed.Failure.Outcome() != attempt.NotRun {
		return false
	}
	return !failed.Failure.Sent || failed.Code == string(attempt.NotHolder)
}

// locate returns the call's key and the key's home data centre.
func (k *Keys) locate(r *call.Request) (attempt.Key, string, error) {
	key, err := attempt.ParseKey(r.Key)
	if err != nil {
		return key, "", refused(fasthttp.StatusBadRequest, "malformed_idempotency_key", err)
	}
	t := k.fleet.Table()
	if t == nil {
		return key, "", refused(fasthttp.StatusServiceUnavailable, "not_ready", errors.New("the instance has no tables yet"))
	}
	dataCentres := t.DataCentres()
	if r.Home == "" {
		return key, attempt.Home(key, dataCentres), nil
	}
	if !slices.Contains(dataCentres, r.Home) {
		return key, "", refused(fasthttp.StatusBadRequest, "malformed_home", fmt.Errorf("%q is not a published data centre", r.Home))
	}
	return key, r.Home, nil
}

// refused is a proved not-run.
func refused(status int, code string, err error) *call.Error {
	failed := &call.Error{Status: status, Code: code, Err: err}
	if status == fasthttp.StatusServiceUnavailable {
		failed.RetryAfter = time.Second
	}
	return failed
}
