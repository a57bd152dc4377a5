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

// maxOwnersTried is the maximum number of instances that one send is tried on:
// the owner as known to this instance, and the next candidate if the first is
// not the owner.
const maxOwnersTried = 2

// Send serves a call that carries a key on the instance that owns the key. Its
// error is a *call.Error.
func (k *Keys) Send(ctx context.Context, r *call.Request) (*call.Response, error) {
	key, home, err := k.locate(r)
	if err != nil {
		return nil, err
	}
	lastErr := error(notRunError(fasthttp.StatusServiceUnavailable, "key_owner_unknown", fmt.Errorf("no instance of %q is known", home)))
	owners := k.fleet.KeyOwners(home, key.Shard())
	for _, owner := range owners[:min(len(owners), maxOwnersTried)] {
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
		lastErr = err
		if !mayTryNext(err) {
			break
		}
	}
	return nil, lastErr
}

// mayTryNext reports whether err proves that the tried instance neither ran the
// call nor has a record of the key.
func mayTryNext(err error) bool {
	var failed *call.Error
	if !errors.As(err, &failed) || failed.Failure.Outcome() != attempt.NotRun {
		return false
	}
	return !failed.Failure.Sent || failed.Code == string(attempt.NotHolder)
}

// locate returns the call's key and the key's home data centre: the one that
// the caller names, else the one that the key hashes to.
func (k *Keys) locate(r *call.Request) (attempt.Key, string, error) {
	key, err := attempt.ParseKey(r.Key)
	if err != nil {
		return key, "", notRunError(fasthttp.StatusBadRequest, "malformed_idempotency_key", err)
	}
	t := k.fleet.Table()
	if t == nil {
		return key, "", notRunError(fasthttp.StatusServiceUnavailable, "not_ready", errors.New("the instance has no tables yet"))
	}
	dataCentres := t.DataCentres()
	if r.Home == "" {
		return key, attempt.Home(key, dataCentres), nil
	}
	if !slices.Contains(dataCentres, r.Home) {
		return key, "", notRunError(fasthttp.StatusBadRequest, "malformed_home", fmt.Errorf("%q is not a published data centre", r.Home))
	}
	return key, r.Home, nil
}

// notRunError is the error of a call that has certainly not run.
func notRunError(status int, code string, err error) *call.Error {
	failed := &call.Error{Status: status, Code: code, Err: err}
	if status == fasthttp.StatusServiceUnavailable {
		failed.RetryAfter = time.Second
	}
	return failed
}
