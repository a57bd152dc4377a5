package settings

import "github.com/bulrushwick/bulrushwick/coord/attempt"

// Keys configures what is remembered of idempotency keys.
type Keys struct {
	// FutureLimit is how far a key may be minted ahead of the instance's wall
	// clock. It must be the same on all instances. Default: 500ms.
	FutureLimit Duration `json:"futureLimit"`
	// ClockSkew is the largest difference between the wall clocks of two
	// instances; a larger one than this may run a key twice. Larger settings
	// answer unknown for longer after a change of owner. Default: 500ms.
	ClockSkew Duration `json:"clockSkew"`
	// Retention is how long after its minting a key is known. Default: 1h.
	Retention Duration `json:"retention"`
	// Limit bounds the keys that are known. Default: 50,000.
	Limit int `json:"limit"`
	// ByteLimit bounds the answers that are kept, in bytes. Default: 16 MiB.
	ByteLimit int `json:"byteLimit"`
}

// DefaultKeys returns the defaults.
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

// Record returns the record's bounds.
func (k Keys) Record() attempt.RecordConfig {
	record := attempt.DefaultRecordConfig()
	record.FutureLimit = k.FutureLimit.Std()
	record.ClockSkew = k.ClockSkew.Std()
	record.Retention = k.Retention.Std()
	record.MaxKeys = k.Limit
	record.MaxBytes = k.ByteLimit
	return record
}
