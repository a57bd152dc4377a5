package replica

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Call identifies a call: the event that ends it has the Call of its action.
type Call uint64

// Peer is another live instance.
type Peer struct {
	Name       string
	DataCentre string
}

// Event is an input of Replica.Step.
type Event interface{ event() }

// Tick reports that time has passed.
type Tick struct{}

// Members replaces the list of live instances. The list may include this instance.
type Members struct{ Peers []Peer }

// PeerHolds reports that a peer holds the table with that stamp.
type PeerHolds struct {
	Peer  string
	Stamp table.Stamp
}

// ManifestRead is the response to WatchManifest.
type ManifestRead struct {
	Call Call
	Data []byte
	// Index is the value's index at the platform, which grows with each change.
	Index uint64
}

// ChunkRead is the response to ReadChunk.
type ChunkRead struct {
	Call Call
	Data []byte
}

// PeerResponded is the response to QueryPeer: the peer's stamp, and its manifest if
// that stamp is above the one in the query.
type PeerResponded struct {
	Call     Call
	Stamp    table.Stamp
	Manifest []byte
}

// ChunksFetched is the response to FetchChunks, with some or all of the chunks.
type ChunksFetched struct {
	Call   Call
	Chunks [][]byte
}

// CallFailed reports that a call has failed and gets no response.
type CallFailed struct{ Call Call }

func (Tick) event()          {}
func (Members) event()       {}
func (PeerHolds) event()     {}
func (ManifestRead) event()  {}
func (ChunkRead) event()     {}
func (PeerResponded) event() {}
func (ChunksFetched) event() {}
func (CallFailed) event()    {}

// Action is an output of Replica.Step, for the caller to carry out.
type Action interface{ action() }

// WatchManifest reads the manifest from the platform. With an Index above 0 it is a
// blocking query: the platform responds when the value's index is above Index, or
// after Wait.
type WatchManifest struct {
	Call  Call
	Index uint64
	Wait  time.Duration
	// NewConnection reports that the previous connection may be broken, and
	// requests a new one.
	NewConnection bool
}

// ReadChunk reads a chunk from the platform.
type ReadChunk struct {
	Call Call
	Key  string
}

// QueryPeer sends a peer this instance's stamp and requests the peer's stamp,
// and its manifest if that stamp is above Have.
type QueryPeer struct {
	Call Call
	Peer string
	Have table.Stamp
}

// FetchChunks requests chunks from a peer by digest.
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

// Reject reports that a manifest or table was rejected for its findings. The
// previous table stays in force.
type Reject struct {
	Stamp table.Stamp
	// From is the peer that the manifest came from, or empty for the platform.
	From     string
	Findings table.Findings
}

func (WatchManifest) action() {}
func (ReadChunk) action()     {}
func (QueryPeer) action()     {}
func (FetchChunks) action()   {}
func (Install) action()       {}
func (Reject) action()        {}
