package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// retryDelay is the delay after a failed read.
const retryDelay = 250 * time.Millisecond

// confirmInterval is the interval between reads of the list of instances while rights
// depend on it.
const confirmInterval = time.Second

// Reader keeps the lists of instances and endpoints of a fleet up to date from the
// platform.
type Reader struct {
	client  *Client
	fleet   *fleet.Fleet
	maxWait time.Duration
	log     zerolog.Logger
}

// NewReader returns a reader that updates f and whose blocking queries wait at most
// maxWait.
func NewReader(client *Client, f *fleet.Fleet, maxWait time.Duration, log zerolog.Logger) *Reader {
	return &Reader{client: client, fleet: f, maxWait: maxWait, log: log}
}

// Run watches both lists until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	report := recovery.Log(r.log)
	go recovery.Loop(ctx, report, "instances", func(ctx context.Context) { r.watch(ctx, InstancesKey, r.applyInstances) })
	go recovery.Loop(ctx, report, "list of instances", r.confirmInstances)
	recovery.Loop(ctx, report, "endpoints", func(ctx context.Context) { r.watch(ctx, EndpointsKey, r.applyEndpoints) })
}

// watch reads key with blocking queries, applies each new value, and logs failures.
func (r *Reader) watch(ctx context.Context, key string, apply func([]byte) error) {
	index := uint64(0)
	for ctx.Err() == nil {
		queriedAt := r.fleet.Now()
		value, err := r.client.Get(key, index, r.maxWait)
		if err == nil && value.Index != index {
			err = apply(value.Data)
			index = value.Index
		}
		if err == nil && key == InstancesKey {
			r.fleet.RecordListRead(queriedAt)
		}
		if err == nil {
			continue
		}
		r.log.Warn().Err(err).Str("event", "platform_read_failed").Str("key", key).Send()
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// confirmInstances reads the list of instances every confirmInterval while the rights
// of this instance depend on it, in addition to the blocking queries of watch.
func (r *Reader) confirmInstances(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !r.fleet.DependsOnList() {
			continue
		}
		queriedAt := r.fleet.Now()
		value, err := r.client.Get(InstancesKey, 0, 0)
		if err == nil {
			err = r.applyInstances(value.Data)
		}
		if err == nil {
			r.fleet.RecordListRead(queriedAt)
		}
	}
}

func (r *Reader) applyInstances(data []byte) error {
	instances, findings := ParseInstances(data)
	if instances == nil {
		return oops.Code("instances_malformed").Wrap(findings.Err())
	}
	r.logFindings(InstancesKey, findings)
	r.fleet.PublishInstances(instances)
	return nil
}

func (r *Reader) applyEndpoints(data []byte) error {
	states, findings := ParseEndpoints(data)
	if states == nil {
		return oops.Code("endpoints_malformed").Wrap(findings.Err())
	}
	r.logFindings(EndpointsKey, findings)
	r.fleet.PublishEndpoints(states)
	return nil
}

// logFindings logs the findings on entries that were left out of a list.
func (r *Reader) logFindings(key string, findings strictjson.Findings) {
	if len(findings) > 0 {
		r.log.Warn().Str("event", "list_findings").Str("key", key).Err(findings).Send()
	}
}
