package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// retryAfter is the pause after a failed read.
const retryAfter = 250 * time.Millisecond

// Reader keeps a fleet's view up to date from the platform.
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

// Run watches every key until ctx is done.
func (r *Reader) Run(ctx context.Context) {
	go r.watch(ctx, InstancesKey, r.instances)
	go r.watch(ctx, EndpointsKey, r.endpoints)
	r.watch(ctx, ManifestKey, r.tables)
}

func (r *Reader) watch(ctx context.Context, key string, apply func([]byte) error) {
	index := uint64(0)
	for ctx.Err() == nil {
		value, err := r.client.Get(key, index, r.wait)
		if err == nil && value.Index != index {
			err = apply(value.Data)
			index = value.Index
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

func (r *Reader) instances(data []byte) error {
	var instances []member.Instance
	if err := json.Unmarshal(data, &instances); err != nil {
		return oops.Code("instances_malformed").Wrap(err)
	}
	r.fleet.PublishInstances(instances)
	return nil
}

func (r *Reader) endpoints(data []byte) error {
	var states []fleet.EndpointState
	if err := json.Unmarshal(data, &states); err != nil {
		return oops.Code("endpoints_malformed").Wrap(err)
	}
	r.fleet.PublishEndpoints(states)
	return nil
}

func (r *Reader) tables(data []byte) error {
	var manifest table.Manifest
	if err := json.Unmarshal(data, &manifest); err != nil {
		return oops.Code("manifest_malformed").Wrap(err)
	}
	snapshot := table.Snapshot{Manifest: manifest, Chunks: make(map[string][]byte, len(manifest.Chunks))}
	for _, ref := range manifest.Chunks {
		value, err := r.client.Get(ref.Key, 0, r.wait)
		if err != nil {
			return err
		}
		snapshot.Chunks[ref.Key] = value.Data
	}
	t, err := table.Build(snapshot)
	if err != nil {
		return oops.Code("tables_rejected").With("revision", manifest.Revision).Wrap(err)
	}
	if r.fleet.Offer(t) {
		r.log.Info().Str("event", "tables_accepted").Uint64("revision", t.Revision).Send()
	}
	return nil
}
