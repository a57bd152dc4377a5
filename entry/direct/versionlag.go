package direct

import (
	"sync"
	"time"
)

// versionLag measures how long this instance has known, from its peers, that a
// newer configuration than its own exists. It is safe for concurrent use.
type versionLag struct {
	mu sync.Mutex
	// newest is the highest version that a peer reported.
	newest uint64
	// since is when the lag began; 0 if the newest version is in force.
	since time.Duration
}

// observe records that a peer has a version newer than the one in force.
func (l *versionLag) observe(at time.Duration, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.newest {
		return
	}
	l.newest = version
	if l.since == 0 {
		l.since = at
	}
}

// installed records that a version took effect, and returns how long the lag
// lasted.
func (l *versionLag) installed(at time.Duration, version uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	behind := l.elapsed(at)
	if version >= l.newest {
		l.newest, l.since = version, 0
	}
	return behind
}

// behind returns how long a newer version has been known, 0 if none is.
func (l *versionLag) behind(at time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elapsed(at)
}

func (l *versionLag) elapsed(at time.Duration) time.Duration {
	if l.since == 0 {
		return 0
	}
	return at - l.since
}
