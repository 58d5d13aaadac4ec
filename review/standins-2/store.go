package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"created_at"`
	LeaseID   uint64 `json:"lease_id"`
	Compacted bool   `json:"compacted,omitempty"`

	at time.Time
}

// lease is a lease with its end.
type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	// dropped is the latest revision that the history has lost: it lasts for retention.
	dropped uint64
	// slow is how long each answer takes.
	slow    time.Duration
	changed chan struct{}
	leases  map[uint64]*lease
	last    uint64
	// lose is asked for each write call. A positive result loses the answer and executes the
	// call that much later, if its condition and its lease still hold.
	lose func(path string, keys []string) time.Duration
	// seen is told of each call that was executed or lost.
	seen func(what string)
}

// retention is retention_s of the settings, and usual how long an answer takes.
const (
	retention = 20 * time.Second
	usual     = 4 * time.Millisecond
)

// newStore starts a store on a loopback address.
func newStore(host string) (*store, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]*lease{}, last: 7000}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		slow := s.slow
		s.mu.Unlock()
		time.Sleep(max(slow, usual))
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) note(what string) {
	if s.seen != nil {
		s.seen(what)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

// put writes a key as the operator or an engine does.
func (s *store) put(key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, raw, 0)
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedAt: created, LeaseID: leaseID}
	s.items[key] = i
	s.append(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Compacted: true})
}

func (s *store) append(i item) {
	i.at = time.Now()
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over.
func (s *store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.drop(id, "lease %d has ended; its key %s is removed")
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) drop(id uint64, text string) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.LeaseID == id {
			s.note(sprintf("store: "+text, id, key))
			s.remove(key)
		}
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created_at": i.CreatedAt, "lease_id": i.LeaseID, "at": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	more := len(entries) > page
	if more {
		entries = entries[:page]
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > retention {
			s.dropped, s.history = s.history[0].Revision, s.history[1:]
		}
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// txnBody is the body of a change under a condition.
type txnBody struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_revision"`
	Write []struct {
		Key     string `json:"key"`
		Value   []byte `json:"value"`
		LeaseID uint64 `json:"lease_id"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	var keys []string
	for _, i := range body.Write {
		keys = append(keys, i.Key)
	}
	if s.loses(r, keys, func() {
		status, _ := s.apply(&body)
		s.note(sprintf("store: the lost change of %s is executed late, status %d", strings.Join(keys, " "), status))
	}) {
		return
	}
	status, answer := s.apply(&body)
	reply(w, status, answer)
}

func (s *store) apply(body *txnBody) (status int, answer any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []item{}
	for _, c := range body.Expected {
		i, ok := s.items[c.Key]
		if !ok {
			i = item{Key: c.Key}
		}
		current = append(current, i)
		conflict = conflict || i.Revision != c.Revision
	}
	if conflict {
		return http.StatusPreconditionFailed, map[string]any{"entries": current}
	}
	for _, i := range body.Write {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if i.LeaseID != 0 && s.leases[i.LeaseID] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, i := range body.Write {
		s.write(i.Key, i.Value, i.LeaseID)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

// loses loses the answer of a write call if that is due, and has it executed later. The connection
// returns nothing further.
func (s *store) loses(r *http.Request, keys []string, execute func()) bool {
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose == nil {
		return false
	}
	after := lose(r.URL.Path, keys)
	if after <= 0 {
		return false
	}
	s.note(sprintf("store: the answer to %s %s is lost; it is executed %s later", r.URL.Path, strings.Join(keys, " "), after))
	time.AfterFunc(after, execute)
	<-r.Context().Done()
	return true
}

func (s *store) setLose(lose func(path string, keys []string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = lose
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	if s.loses(r, nil, func() {}) {
		return
	}
	ttl := time.Duration(max(1000, min(body.TTL, 600_000))) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.leases[s.last] = &lease{ttl: ttl, end: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease_id": s.last, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id, "lease %d is ended; its key %s is removed")
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) close() { _ = s.server.Shutdown(context.Background()) }
