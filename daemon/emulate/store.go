package emulate

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/platform"
)

// maxWatchWait bounds the wait that a watch call may request.
const maxWatchWait = time.Minute

// StoreConfig holds the settings of the store emulator.
type StoreConfig struct {
	// Seed seeds the random choice of the lost responses.
	Seed   uint64      `json:"seed"`
	Faults StoreFaults `json:"faults"`
}

// StoreFaults is the body of POST /faults of the store. The content of the store
// survives crashes. During an outage, calls fail with the store's own error and
// pending watches end.
type StoreFaults struct {
	CommonFaults
	// LostResponseRate is the share of successful writes whose connection is reset
	// before the response, 0 to 1.
	LostResponseRate *float64 `json:"lose_answers,omitempty"`
	// LoseNextResponses is the number of upcoming successful writes whose response
	// is lost.
	LoseNextResponses *int `json:"lose_next,omitempty"`
	// CallsPerSecond limits the rate of calls; 0 means no limit.
	CallsPerSecond *float64 `json:"calls_per_second,omitempty"`
	// Backup copies the content, Restore replaces it by the latest copy: what was written in
	// between is gone, and a new era begins.
	Backup  bool `json:"backup,omitempty"`
	Restore bool `json:"restore,omitempty"`
}

// Store is an emulated store: it serves a kv.MemoryStore with the protocol of
// package platform.
type Store struct {
	commonEmulator
	memory *kv.MemoryStore

	mu                sync.Mutex
	faults            kv.Faults
	loseNextResponses int
	// backup is the latest copy of the content; nil before the first.
	backup *kv.Backup
}

// StartStore serves an empty store on listen.
func StartStore(listen string, cfg StoreConfig, log zerolog.Logger) (*Store, error) {
	s := &Store{memory: kv.NewMemoryStore(clock.System{}, rand.NewPCG(cfg.Seed, 0))}
	s.log = log
	s.server = NewFaultServer(s.handler(), log)
	if err := s.server.Start(listen); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := s.SetFaults(cfg.Faults); err != nil {
		s.Close()
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Memory returns the in-memory store that the emulator serves.
func (s *Store) Memory() *kv.MemoryStore { return s.memory }

// SetFaults sets the faults whose fields in f are present.
func (s *Store) SetFaults(f StoreFaults) error {
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	if f.LostResponseRate != nil && (*f.LostResponseRate < 0 || *f.LostResponseRate > 1) {
		return trace.BadParameter("lose_answers must be within 0..1")
	}
	if err := s.backUpAndRestore(f); err != nil {
		return err
	}
	s.mu.Lock()
	setIfPresent(&s.faults.Outage, f.Outage)
	setIfPresent(&s.faults.LostResponseRate, f.LostResponseRate)
	setIfPresent(&s.faults.CallsPerSecond, f.CallsPerSecond)
	setIfPresent(&s.loseNextResponses, f.LoseNextResponses)
	if f.DelayMs != nil {
		s.faults.Delay = milliseconds(*f.DelayMs)
	}
	s.memory.SetFaults(s.faults)
	s.mu.Unlock()
	s.setConnectionFaults(f.CommonFaults)
	return nil
}

// backUpAndRestore copies the content or restores the latest copy.
func (s *Store) backUpAndRestore(f StoreFaults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Restore && s.backup == nil {
		return trace.BadParameter("restore needs a backup")
	}
	if f.Restore {
		s.memory.Restore(s.backup)
	}
	if f.Backup {
		s.backup = s.memory.Backup()
	}
	return nil
}

// storeHandler handles one call on the store.
type storeHandler func(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error)

func (s *Store) handler() http.Handler {
	r := newEcho(s.log)
	r.POST(platform.StorePathGet, s.serve(s.get))
	r.POST(platform.StorePathList, s.serve(s.list))
	r.POST(platform.StorePathWatch, s.serve(s.watch))
	r.POST(platform.StorePathPut, s.serve(s.loseResponses(s.put)))
	r.POST(platform.StorePathDelete, s.serve(s.loseResponses(s.remove)))
	r.POST(platform.StorePathGrant, s.serve(s.loseResponses(s.grant)))
	r.POST(platform.StorePathKeepAlive, s.serve(s.loseResponses(s.keepAlive)))
	r.POST(platform.StorePathRevoke, s.serve(s.loseResponses(s.revoke)))
	r.GET("/stats", s.serveStats)
	addFaultsRoute(r, s.SetFaults)
	return r
}

// serve decodes a call, runs it and encodes its response. It resets the connection
// when the response is lost.
func (s *Store) serve(call storeHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		var req platform.StoreRequest
		if err := decodeBody(c, &req); err != nil {
			return err
		}
		era := s.memory.Era()
		err := s.checkEra(req)
		var response platform.StoreResponse
		if err == nil {
			response, err = call(c.Request().Context(), req)
		}
		if now := s.memory.Era(); now != era {
			if req.WaitMs == 0 {
				// It is not known in which era the call was executed.
				err = kv.ErrUnknownOutcome
			}
			era = now
		}
		if err == nil {
			response.Era = era
			return c.JSON(http.StatusOK, response)
		}
		status, code, ok := platform.StoreErrorStatus(err)
		if !ok {
			resetConn(c.Request())
			return errInjectedReset
		}
		return c.JSON(status, platform.StoreResponse{Error: code, Era: era})
	}
}

// checkEra refuses a call with a revision or lease of another era. A watch is not refused; it
// returns the current entry.
func (s *Store) checkEra(r platform.StoreRequest) error {
	switch {
	case r.Era == s.memory.Era() || r.WaitMs > 0 || r.Revision == 0 && r.Lease == 0:
		return nil
	case r.Lease != 0:
		return kv.ErrNotFound
	}
	return kv.ErrConflict
}

// loseResponses wraps a write so that the responses of the next loseNextResponses
// successful writes are lost.
func (s *Store) loseResponses(call storeHandler) storeHandler {
	return func(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
		response, err := call(ctx, r)
		if err != nil {
			return response, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.loseNextResponses > 0 {
			s.loseNextResponses--
			return platform.StoreResponse{}, kv.ErrUnknownOutcome
		}
		return response, nil
	}
}

func (s *Store) get(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	e, err := s.memory.Get(ctx, r.Key)
	return platform.StoreResponse{Entry: &e}, err
}

func (s *Store) list(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	all, err := s.memory.List(ctx, r.Key)
	return platform.StoreResponse{Entries: all}, err
}

// watch waits for a change, and returns the current entry when the wait that the
// caller requested has passed.
func (s *Store) watch(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	wait, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxWatchWait))
	defer cancel()
	if r.Revision > 0 && r.Era != s.memory.Era() {
		cancel()
	}
	e, err := s.memory.Watch(wait, r.Key, r.Revision)
	if wait.Err() != nil && ctx.Err() == nil {
		e, err = s.memory.Get(ctx, r.Key)
		if errors.Is(err, kv.ErrNotFound) && r.Revision > 0 {
			e, err = kv.Entry{Key: r.Key}, nil
		}
	}
	return platform.StoreResponse{Entry: &e}, err
}

func (s *Store) put(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	rev, err := s.memory.Put(ctx, r.Key, r.Value, r.Revision, r.Lease)
	return platform.StoreResponse{Revision: rev}, err
}

func (s *Store) remove(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	return platform.StoreResponse{}, s.memory.Delete(ctx, r.Key, r.Revision)
}

func (s *Store) grant(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	id, err := s.memory.Grant(ctx, time.Duration(r.TTLMs)*time.Millisecond)
	return platform.StoreResponse{Lease: id}, err
}

func (s *Store) keepAlive(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	return platform.StoreResponse{}, s.memory.KeepAlive(ctx, r.Lease)
}

func (s *Store) revoke(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	return platform.StoreResponse{}, s.memory.Revoke(ctx, r.Lease)
}

// storeUsage is the usage of one kind of call in the response to GET /stats.
type storeUsage struct {
	Calls uint64 `json:"calls"`
	Bytes uint64 `json:"bytes"`
}

func (s *Store) serveStats(c echo.Context) error {
	out := map[kv.CallKind]storeUsage{}
	for kind, u := range s.memory.Usage() {
		out[kind] = storeUsage(u)
	}
	return c.JSON(http.StatusOK, out)
}
