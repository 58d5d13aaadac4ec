package emulate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"cactusknot.example/daemon/platform"
)

// LoadReport is the answer of GET /load. It shows the engine as it was when the
// report was last renewed.
type LoadReport struct {
	// Epoch grows by one with each start of the engine.
	Epoch         uint64 `json:"epoch"`
	StartedUnixMs int64  `json:"started_unix_ms"`
	SampledUnixMs int64  `json:"sampled_unix_ms"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	BatchLimit    int    `json:"batch_limit"`
	// MaxHeld is the number of running and waiting requests that the engine
	// survives when it is warm.
	MaxHeld int `json:"max_held"`
	// QueuedTokens is the number of prompt tokens not yet processed.
	QueuedTokens int      `json:"queued_tokens"`
	Completed    uint64   `json:"completed"`
	CacheEntries int      `json:"cache_entries"`
	Loaded       []string `json:"loaded"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
}

// CacheEvents is the answer of GET /cache_events.
type CacheEvents struct {
	Epoch  uint64       `json:"epoch"`
	Events []CacheEvent `json:"events"`
}

// Kinds of Order.
const (
	OrderLoad          = "load"
	OrderUnload        = "unload"
	OrderLoadAdapter   = "load_adapter"
	OrderUnloadAdapter = "unload_adapter"
	OrderRole          = "role"
)

// Order is the body of POST /orders. The engine accepts it with status 202 and
// carries it out after EngineConfig.OrderMs.
type Order struct {
	// Fence is the fencing number of the sender's lease.
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	// Model is model@version for OrderLoad and OrderUnload.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderAnswer is the answer to an accepted order.
type OrderAnswer struct {
	Epoch uint64 `json:"epoch"`
	Fence uint64 `json:"fence"`
}

func (e *Engine) reportLocked() LoadReport {
	queued := 0
	for _, s := range slices.Concat(e.running, e.waiting) {
		queued += s.prefill
	}
	return LoadReport{
		Epoch:         e.epoch,
		StartedUnixMs: e.started.UnixMilli(),
		SampledUnixMs: time.Now().UnixMilli(),
		Running:       len(e.running),
		Waiting:       len(e.waiting),
		BatchLimit:    e.cfg.BatchLimit,
		MaxHeld:       e.cfg.MaxHeld,
		QueuedTokens:  queued,
		Completed:     e.totals.Completed,
		CacheEntries:  e.cache.order.Len(),
		Loaded:        e.loadedLocked(),
		Adapters:      append([]string{}, e.adapters...),
		Role:          e.role,
	}
}

func (e *Engine) loadedLocked() []string {
	ids := make([]string, 0, len(e.loaded))
	for id := range e.loaded {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reportLoop renews the load report until ctx ends.
func (e *Engine) reportLoop(ctx context.Context) {
	defer e.done.Done()
	for sleep(ctx, ms(e.cfg.LoadReportMs)) == nil {
		e.mu.Lock()
		if time.Now().After(e.faults.holdReport) {
			e.report = e.reportLocked()
		}
		e.mu.Unlock()
	}
}

func (e *Engine) serveLoad(c echo.Context) error {
	e.mu.Lock()
	r := e.report
	e.mu.Unlock()
	return c.JSON(http.StatusOK, r)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) serveModels(c echo.Context) error {
	e.mu.Lock()
	ids := e.loadedLocked()
	e.mu.Unlock()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, id := range ids {
		list.Data = append(list.Data, modelItem{ID: id, Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}

func (e *Engine) serveCacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil && c.QueryParam("after") != "" {
		return fail(c, http.StatusBadRequest, "invalid_request_error", "after is not a number")
	}
	e.mu.Lock()
	answer := CacheEvents{Epoch: e.epoch, Events: e.cache.after(after, time.Now(), e.cacheLate)}
	e.mu.Unlock()
	return c.JSON(http.StatusOK, answer)
}

func (e *Engine) serveOrder(c echo.Context) error {
	var o Order
	if err := readStrict(c, &o); err != nil {
		return err
	}
	e.mu.Lock()
	status, why := e.acceptLocked(o)
	answer := OrderAnswer{Epoch: e.epoch, Fence: e.fence}
	e.mu.Unlock()
	if status != http.StatusAccepted {
		return fail(c, status, "order_refused", why)
	}
	time.AfterFunc(ms(e.cfg.OrderMs), func() { e.carryOut(o, answer.Epoch) })
	return c.JSON(status, answer)
}

// acceptLocked checks an order against the fencing number and the settings.
func (e *Engine) acceptLocked(o Order) (int, string) {
	if e.cfg.Fence == FenceEnforce && o.Fence < e.fence {
		return http.StatusConflict, "fencing number is lower than " + strconv.FormatUint(e.fence, 10)
	}
	switch o.Kind {
	case OrderLoad:
		if _, known := e.modelLocked(o.Model); !known {
			return http.StatusNotFound, "unknown model version"
		}
		if n := len(e.loaded); e.cfg.MaxLoaded > 0 && n >= e.cfg.MaxLoaded && !e.loaded[o.Model] {
			return http.StatusInsufficientStorage, "no memory for another version"
		}
	case OrderUnload, OrderLoadAdapter, OrderUnloadAdapter:
	case OrderRole:
		if !validRole(o.Role) {
			return http.StatusBadRequest, "unknown role"
		}
	default:
		return http.StatusBadRequest, "unknown kind of order"
	}
	e.fence = max(e.fence, o.Fence)
	return http.StatusAccepted, ""
}

// loadTimeout bounds the reading of weights; maxWeightBytes bounds an object.
const (
	loadTimeout    = time.Minute
	maxWeightBytes = 1 << 30
)

// fetchWeights reads the weights of a version and waits as the rate-limited store
// asks. It returns false when they can't be had.
func (e *Engine) fetchWeights(version string) bool {
	if e.cfg.WeightsURL == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	store := platform.NewWeightsClient(e.cfg.WeightsURL, maxWeightBytes)
	defer store.Close()
	for {
		_, err := store.Fetch(ctx, version, io.Discard)
		var limited *platform.RateLimitError
		if err == nil {
			return true
		}
		if !errors.As(err, &limited) || sleep(ctx, limited.RetryAfter) != nil {
			e.log.Info().Err(err).Str("version", version).Msg("weights not read")
			return false
		}
	}
}

// carryOut applies an order unless the engine restarted since it was accepted.
func (e *Engine) carryOut(o Order, epoch uint64) {
	if o.Kind == OrderLoad && !e.fetchWeights(o.Model) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || e.epoch != epoch {
		return
	}
	switch o.Kind {
	case OrderLoad:
		e.loaded[o.Model] = true
	case OrderUnload:
		delete(e.loaded, o.Model)
	case OrderLoadAdapter:
		if !slices.Contains(e.adapters, o.Adapter) {
			e.adapters = append(e.adapters, o.Adapter)
		}
	case OrderUnloadAdapter:
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == o.Adapter })
	case OrderRole:
		e.role = o.Role
	}
}

func (e *Engine) limitBytes(c echo.Context) *limitedWriter {
	e.mu.Lock()
	defer e.mu.Unlock()
	return newLimitedWriter(c, e.faults.resetAfter)
}
