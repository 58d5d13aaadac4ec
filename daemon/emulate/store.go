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

// maxWatchWait bounds the wait that a watch may ask for.
const maxWatchWait = time.Minute

// StoreConfig holds the settings of the store emulator.
type StoreConfig struct {
	// Seed drives the share of lost answers.
	Seed   uint64      `json:"seed"`
	Faults StoreFaults `json:"faults"`
}

// StoreFaults is the body of POST /faults of the store. The store keeps its
// content through a crash. An outage here answers calls with the store's own
// error and ends waiting watches.
type StoreFaults struct {
	CommonFaults
	// LostResponseRate is the share of successful writes whose connection is reset
	// instead of answered, 0 to 1.
	LostResponseRate *float64 `json:"lose_answers,omitempty"`
	// LoseNext is the number of coming successful writes whose answer is lost.
	LoseNext *int `json:"lose_next,omitempty"`
	// CallsPerSecond limits the rate of calls; 0 means no limit.
	CallsPerSecond *float64 `json:"calls_per_second,omitempty"`
}

// Store serves a kv.Memory with the protocol of package platform.
type Store struct {
	base
	memory *kv.MemoryStore

	mu       sync.Mutex
	faults   kv.Faults
	loseNext int
}

// StartStore serves an empty store on listen.
func StartStore(listen string, cfg StoreConfig, log zerolog.Logger) (*Store, error) {
	s := &Store{memory: kv.NewMemoryStore(clock.System{}, rand.NewPCG(cfg.Seed, 0))}
	s.log = log
	s.host = NewHost(s.handler(), log)
	if err := s.host.Start(listen); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := s.Apply(cfg.Faults); err != nil {
		s.Close()
		return nil, trace.Wrap(err)
	}
	return s, nil
}

// Memory returns the store behind the server.
func (s *Store) Memory() *kv.MemoryStore { return s.memory }

// Apply sets the faults that f names.
func (s *Store) Apply(f StoreFaults) error {
	if f.CrashMs != nil && *f.CrashMs <= 0 {
		return trace.BadParameter("crash_ms must be above 0")
	}
	if f.LostResponseRate != nil && (*f.LostResponseRate < 0 || *f.LostResponseRate > 1) {
		return trace.BadParameter("lose_answers must be within 0..1")
	}
	s.mu.Lock()
	set(&s.faults.Outage, f.Outage)
	set(&s.faults.LostResponseRate, f.LostResponseRate)
	set(&s.faults.CallsPerSecond, f.CallsPerSecond)
	set(&s.loseNext, f.LoseNext)
	if f.DelayMs != nil {
		s.faults.Delay = ms(*f.DelayMs)
	}
	s.memory.SetFaults(s.faults)
	s.mu.Unlock()
	s.applyHost(f.CommonFaults)
	return nil
}

// storeCall runs one call on the store.
type storeCall func(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error)

func (s *Store) handler() http.Handler {
	r := newEcho(s.log)
	r.POST(platform.StorePathGet, s.serve(s.get))
	r.POST(platform.StorePathList, s.serve(s.list))
	r.POST(platform.StorePathWatch, s.serve(s.watch))
	r.POST(platform.StorePathPut, s.serve(s.written(s.put)))
	r.POST(platform.StorePathDelete, s.serve(s.written(s.remove)))
	r.POST(platform.StorePathGrant, s.serve(s.written(s.grant)))
	r.POST(platform.StorePathKeepAlive, s.serve(s.written(s.keepAlive)))
	r.POST(platform.StorePathRevoke, s.serve(s.written(s.revoke)))
	r.GET("/stats", s.serveStats)
	faultRoutes(r, s.Apply)
	return r
}

// serve decodes a call, runs it and encodes its answer. A lost answer resets the
// connection.
func (s *Store) serve(call storeCall) echo.HandlerFunc {
	return func(c echo.Context) error {
		var req platform.StoreRequest
		if err := readStrict(c, &req); err != nil {
			return err
		}
		answer, err := call(c.Request().Context(), req)
		if err == nil {
			return c.JSON(http.StatusOK, answer)
		}
		status, code, ok := platform.StoreErrorStatus(err)
		if !ok {
			resetConn(c.Request())
			return errReset
		}
		return c.JSON(status, platform.StoreResponse{Error: code})
	}
}

// written loses the answer of a successful write while LoseNext is above 0.
func (s *Store) written(call storeCall) storeCall {
	return func(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
		answer, err := call(ctx, r)
		if err != nil {
			return answer, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.loseNext > 0 {
			s.loseNext--
			return platform.StoreResponse{}, kv.ErrUnknownOutcome
		}
		return answer, nil
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

// watch ends after the wait that the caller asked for with the present entry.
func (s *Store) watch(ctx context.Context, r platform.StoreRequest) (platform.StoreResponse, error) {
	wait, cancel := context.WithTimeout(ctx, min(time.Duration(r.WaitMs)*time.Millisecond, maxWatchWait))
	defer cancel()
	e, err := s.memory.Watch(wait, r.Key, r.Revision)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
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

// storeUsage is the usage of one kind of call in GET /stats.
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
