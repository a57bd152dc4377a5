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

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	address  string
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func startStore(host string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{changed: make(chan struct{}), revision: 1000, items: make(map[string]item), address: listener.Addr().String()}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Second}).Serve(listener) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, exists := s.items[key]; exists {
		created = old.Created
	}
	i := item{Key: key, Value: encoded, Revision: s.revision, Created: created}
	s.items[key] = i
	s.append(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/bulrushwick/kv-range":
		s.list(w, r)
	case "/bulrushwick/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"hasMore"`
		At      uint64 `json:"at"`
	}{Items: []item{}, At: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			page.Items = append(page.Items, i)
		}
	}
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageItems {
		page.Items, page.HasMore = page.Items[:pageItems], true
	}
	_ = json.NewEncoder(w).Encode(page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changes := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{Events: []item{}, At: s.revision}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				changes.Events = append(changes.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(changes.Events) > 0 {
			_ = json.NewEncoder(w).Encode(changes)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}
