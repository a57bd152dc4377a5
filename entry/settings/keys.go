package settings

import "github.com/bulrushwick/bulrushwick/coord/attempt"

// Keys configures what is remembered of idempotency keys.
type Keys struct {
	// FutureLimit is how far the mint time of a key may be ahead of the instance's
	// wall clock. It must be the same on all instances. Default: 500ms.
	FutureLimit Duration `json:"futureLimit"`
	// ClockSkew is the largest expected difference between the wall clocks of two
	// instances; if the real one is larger, a key may be run twice. With a larger
	// setting, calls get the outcome unknown for longer after a change of owner.
	// Default: 500ms.
	ClockSkew Duration `json:"clockSkew"`
	// Retention is how long after its mint time a key is remembered. Default: 1h.
	Retention Duration `json:"retention"`
	// Limit is the most keys that are remembered. Default: 50,000.
	Limit int `json:"limit"`
	// ByteLimit bounds the stored responses, in bytes. Default: 16 MiB.
	ByteLimit int `json:"byteLimit"`
}

// DefaultKeys returns the default settings of the key record.
func DefaultKeys() Keys {
	record := attempt.DefaultRecordConfig()
	return Keys{
		FutureLimit: Duration(record.FutureLimit),
		ClockSkew:   Duration(record.ClockSkew),
		Retention:   Duration(record.Retention),
		Limit:       record.MaxKeys,
		ByteLimit:   record.MaxBytes,
	}
}

// Record returns the configuration of the key record.
func (k Keys) Record() attempt.RecordConfig {
	record := attempt.DefaultRecordConfig()
	record.FutureLimit = k.FutureLimit.Std()
	record.ClockSkew = k.ClockSkew.Std()
	record.Retention = k.Retention.Std()
	record.MaxKeys = k.Limit
	record.MaxBytes = k.ByteLimit
	return record
}
