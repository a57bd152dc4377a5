package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// retryAfter is the pause after a failed read.
const retryAfter = 250 * time.Millisecond

// confirmEvery is the interval between readings of the list while rights depend
// on it.
const confirmEvery = time.Second

// Reader keeps a fleet's lists of instances and endpoints up to date from the
// platform.
type Reader struct {
	client *Client
	fleet  *fleet.Fleet
	wait   time.Duration
	log    zerolog.Logger
}

// NewReader returns a reader whose blocking queries wait at most wait.
func NewReader(client *Client, f *fleet.Fleet, wait time.Duration, log zerolog.Logger) *Reader {
	return &Reader{client: client, fleet: f, wait: wait, log: log}
}

// Run watches both lists until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	go r.watch(ctx, InstancesKey, r.instances)
	go r.confirm(ctx)
	r.watch(ctx, EndpointsKey, r.endpoints)
}

func (r *Reader) watch(ctx context.Context, key string, apply func([]byte) error) {
	index := uint64(0)
	for ctx.Err() == nil {
		asked := r.fleet.Now()
		value, err := r.client.Get(key, index, r.wait)
		if err == nil && value.Index != index {
			err = apply(value.Data)
			index = value.Index
		}
		if err == nil && key == InstancesKey {
			r.fleet.ListRead(asked)
		}
		if err == nil {
			continue
		}
		r.log.Warn().Err(err).Str("event", "platform_read_failed").Str("key", key).Send()
		select {
		case <-ctx.Done():
		case <-time.After(retryAfter):
		}
	}
}

// confirm reads the list of instances often while rights of this instance depend
// on it.
func (r *Reader) confirm(ctx context.Context) {
	ticker := time.NewTicker(confirmEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.fleet.Alone() {
			continue
		}
		asked := r.fleet.Now()
		value, err := r.client.Get(InstancesKey, 0, 0)
		if err == nil {
			err = r.instances(value.Data)
		}
		if err == nil {
			r.fleet.ListRead(asked)
		}
	}
}

func (r *Reader) instances(data []byte) error {
	instances, findings := ParseInstances(data)
	if instances == nil {
		return oops.Code("instances_malformed").Wrap(findings.Err())
	}
	r.report(InstancesKey, findings)
	r.fleet.PublishInstances(instances)
	return nil
}

func (r *Reader) endpoints(data []byte) error {
	states, findings := ParseEndpoints(data)
	if states == nil {
		return oops.Code("endpoints_malformed").Wrap(findings.Err())
	}
	r.report(EndpointsKey, findings)
	r.fleet.PublishEndpoints(states)
	return nil
}

// report logs what was passed over in a list that is used otherwise.
func (r *Reader) report(key string, findings strictjson.Findings) {
	if len(findings) > 0 {
		r.log.Warn().Str("event", "list_findings").Str("key", key).Err(findings).Send()
	}
}
