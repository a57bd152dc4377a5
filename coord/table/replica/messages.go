package replica

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Call matches an answer to the action that asked for it.
type Call uint64

// Peer is another live instance.
type Peer struct {
	Name       string
	DataCentre string
}

// Event is what happened.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// Members replaces the live instances; this instance may be among them.
type Members struct{ Peers []Peer }

// Heard says that a peer holds the table with that stamp.
type Heard struct {
	Peer  string
	Stamp table.Stamp
}

// ManifestRead answers WatchManifest.
type ManifestRead struct {
	Call  Call
	Data  []byte
	Index uint64
}

// ChunkRead answers ReadChunk.
type ChunkRead struct {
	Call Call
	Data []byte
}

// PeerAnswered answers AskPeer. Manifest is empty unless Stamp is above the one
// that the question carried.
type PeerAnswered struct {
	Call     Call
	Stamp    table.Stamp
	Manifest []byte
}

// ChunksFetched answers FetchChunks with some or all of the chunks.
type ChunksFetched struct {
	Call   Call
	Chunks [][]byte
}

// CallFailed says that a call has no answer.
type CallFailed struct{ Call Call }

func (Tick) event()          {}
func (Members) event()       {}
func (Heard) event()         {}
func (ManifestRead) event()  {}
func (ChunkRead) event()     {}
func (PeerAnswered) event()  {}
func (ChunksFetched) event() {}
func (CallFailed) event()    {}

// Action is what to do.
type Action interface{ action() }

// WatchManifest reads the manifest from the platform; with an index above 0 the
// platform answers when the value's index is above it, at the latest after Wait.
type WatchManifest struct {
	Call  Call
	Index uint64
	Wait  time.Duration
	// NewConnection says that the connection used before may have gone silent.
	NewConnection bool
}

// ReadChunk reads a chunk from the platform.
type ReadChunk struct {
	Call Call
	Key  string
}

// AskPeer tells a peer what this instance holds and asks for what is above it.
type AskPeer struct {
	Call Call
	Peer string
	Have table.Stamp
}

// FetchChunks asks a peer for chunks by digest.
type FetchChunks struct {
	Call    Call
	Peer    string
	Digests []string
}

// Install puts a table in force.
type Install struct {
	Table *table.Table
	// From is the peer that the manifest came from, or empty for the platform.
	From string
}

// Reject says that a manifest or table with findings was passed over; the
// former table stays in force.
type Reject struct {
	Stamp    table.Stamp
	From     string
	Findings table.Findings
}

func (WatchManifest) action() {}
func (ReadChunk) action()     {}
func (AskPeer) action()       {}
func (FetchChunks) action()   {}
func (Install) action()       {}
func (Reject) action()        {}
