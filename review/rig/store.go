package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as its calls show it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	LeaseID   uint64 `json:"lease_id"`
	CreatedAt uint64 `json:"created_at,omitempty"`
	Compacted bool   `json:"compacted,omitempty"`
}

// store is a stand-in of the platform's store: kv-range, kv-watch, kv-txn and leases that expire.
type store struct {
	listener net.Listener
	record   *record

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[uint64]*lease
	lastID   uint64
	// cutWatches is set while a watch that has waited for a while is cut, as any may be: after
	// minWatch to maxWatch, at random.
	cutWatches bool
	cuts       int
}

const minWatch, maxWatch = 100 * time.Millisecond, 300 * time.Millisecond

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// storeDelay is the time of an answer of the store.
const storeDelay = 4 * time.Millisecond

func newStore(r *record) *store {
	s := &store{listener: listen(), record: r, revision: 10, items: make(map[string]item), changed: make(chan struct{}), leases: make(map[uint64]*lease)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.commit)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go http.Serve(s.listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	}))
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key as the operator or an engine does. It returns when that is acknowledged.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: raw})
}

// setCutWatches lets the store cut watches that wait, or no more.
func (s *store) setCutWatches(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutWatches = cut
}

// drop removes a key as an engine or the operator does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) write(i item) {
	s.revision++
	i.Revision, i.CreatedAt = s.revision, s.items[i.Key].CreatedAt
	if i.CreatedAt == 0 {
		i.CreatedAt = s.revision
	}
	s.items[i.Key] = i
	s.append(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		s.revision++
		delete(s.items, key)
		s.append(item{Key: key, Revision: s.revision, Compacted: true})
	}
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	answer(w, http.StatusOK, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created_at": i.CreatedAt, "lease_id": i.LeaseID, "at": s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const page = 500
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			entries = append(entries, i)
		}
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	more := len(entries) > page
	answer(w, http.StatusOK, map[string]any{"entries": entries[:min(page, len(entries))], "has_more": more, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	var cut <-chan time.Time
	s.mu.Lock()
	if s.cutWatches && wait > 0 {
		cut = time.After(minWatch + rand.N(maxWatch-minWatch))
	}
	s.mu.Unlock()
	for done := false; ; {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		events := []item{}
		for _, i := range s.history[first:] {
			if strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-end:
			done = true
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected_revision"`
		Write    []item   `json:"write"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range body.Expected {
		if s.items[c.Key].Revision != c.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"entries": []item{s.items[c.Key]}})
			return
		}
	}
	for _, i := range body.Write {
		if i.LeaseID != 0 && s.leases[i.LeaseID] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, i := range body.Write {
		s.write(item{Key: i.Key, Value: i.Value, LeaseID: i.LeaseID})
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTL < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	id, ttl := s.lastID, time.Duration(body.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	answer(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": body.TTL})
}

// endLease removes a lease and its keys.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.LeaseID == id {
			s.remove(key)
		}
	}
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leases[id]; l != nil {
		l.timer.Stop()
		s.endLease(id)
	}
	answer(w, http.StatusOK, map[string]any{})
}
