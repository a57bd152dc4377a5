package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the notice of its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store: its reads, linearizable, with all history.
type store struct {
	address string
	record  *record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// changed is closed at the next change.
	changed chan struct{}
	// cut is closed to cut the watches that wait, and replaced.
	cut chan struct{}
	// cuts counts the watches that were cut.
	cuts int
}

func startStore(r *record) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), record: r, revision: 7, items: make(map[string]item),
		changed: make(chan struct{}), cut: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bulrushwick/kv-range", s.list)
	mux.HandleFunc("GET /bulrushwick/kv-watch", s.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		i.Created = i.Revision
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	s.record.printf("store: revision %d, %s %s", i.Revision, map[bool]string{true: "removed", false: "wrote"}[i.Deleted], i.Key)
	return time.Now()
}

// put writes an entry and returns when it was acknowledged.
func (s *store) put(key, value string) time.Time {
	return s.write(item{Key: key, Value: []byte(value)})
}

// remove removes an entry and returns when that was acknowledged.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

// cutWatches cuts the watches that wait now under a prefix.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// cutCount returns the number of watches that were cut.
func (s *store) cutCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cuts
}

// pageItems is the number of items of a page.
const pageItems = 50

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(found) > pageItems
	answer(w, map[string]any{"items": found[:min(len(found), pageItems)], "hasMore": hasMore, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	}
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
