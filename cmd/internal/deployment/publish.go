package deployment

import (
	"encoding/json"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/platform"
)

// Put publishes one value under a key at the platform's stand-in.
type Put func(key string, value []byte) error

// PublishTables publishes the chunks of a snapshot and then the manifest that
// names them. It stops at the first error.
func PublishTables(put Put, s table.Snapshot) error {
	for key, data := range s.Chunks {
		if err := put(key, data); err != nil {
			return err
		}
	}
	return putJSON(put, platform.ManifestKey, s.Manifest)
}

// PublishInstances publishes the list of entry instances.
func PublishInstances(put Put, instances []member.Instance) error {
	return putJSON(put, platform.InstancesKey, instances)
}

// PublishEndpoints publishes the states of the endpoints.
func PublishEndpoints(put Put, states []fleet.EndpointState) error {
	return putJSON(put, platform.EndpointsKey, states)
}

func putJSON(put Put, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return put(key, data)
}
