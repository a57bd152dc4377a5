package attempt

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// Shards is the number of shards that the keys of one data centre are divided
// into. It determines which instance owns a key, so every instance must use the
// same number.
const Shards = 32

// keyTextLength is the length of a key in its canonical text form.
const keyTextLength = 36

// keyVersion is the UUID version that contains a timestamp.
const keyVersion = 7

// ErrKeyMalformed is returned for text that is not a canonical UUIDv7.
var ErrKeyMalformed = errors.New("the idempotency key must be a UUIDv7")

// Key is a caller's idempotency key: a UUIDv7, which contains the time at which
// it was minted.
type Key uuid.UUID

// ParseKey parses the canonical text form of a key. Its only error is
// ErrKeyMalformed.
func ParseKey(text string) (Key, error) {
	if len(text) != keyTextLength {
		return Key{}, ErrKeyMalformed
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrKeyMalformed
	}
	return Key(id), nil
}

// String returns the canonical text form.
func (k Key) String() string { return uuid.UUID(k).String() }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return uuid.UUID(k).MarshalText() }

// UnmarshalText implements encoding.TextUnmarshaler. Its only error is
// ErrKeyMalformed.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, err := ParseKey(string(text))
	*k = parsed
	return err
}

// maxMinted is the latest time that a Duration since the Unix epoch can hold, in
// milliseconds: the year 2262. A key has room for 8,900 years.
const maxMinted = math.MaxInt64 / uint64(time.Millisecond)

// Minted returns when the key was minted by its caller's clock, as the time
// since the Unix epoch with millisecond precision, at most maxMinted.
func (k Key) Minted() time.Duration {
	const timeBytes, timestampShift = 8, 16
	milliseconds := binary.BigEndian.Uint64(k[:timeBytes]) >> timestampShift
	return time.Duration(min(milliseconds, maxMinted)) * time.Millisecond
}

// Shard returns the key's shard, from 0 to Shards-1.
func (k Key) Shard() int { return int(xxhash.Sum64(k[:]) % Shards) }

// Home returns the data centre whose instances own the key when the caller
// names none. It depends only on the published data centres, not on which of
// them are reachable, so that every instance agrees on it. It is empty if none
// is published.
func Home(key Key, dataCentres []string) string {
	if len(dataCentres) == 0 {
		return ""
	}
	unique := slices.Compact(slices.Sorted(slices.Values(dataCentres)))
	return ownership.Rank(key.String(), unique)[0]
}
