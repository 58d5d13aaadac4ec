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

// LoadReport is the response to GET /load. It describes the engine at the time of
// the last update of the report.
type LoadReport struct {
	// Epoch grows by one with each start of the engine.
	Epoch         uint64 `json:"epoch"`
	StartedUnixMs int64  `json:"started_unix_ms"`
	SampledUnixMs int64  `json:"sampled_unix_ms"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	BatchLimit    int    `json:"batch_limit"`
	// MaxHeld is the largest number of running and waiting requests that the
	// engine handles when it is warm.
	MaxHeld int `json:"max_held"`
	// QueuedTokens is the number of prompt tokens still to process.
	QueuedTokens int      `json:"queued_tokens"`
	Completed    uint64   `json:"completed"`
	CacheEntries int      `json:"cache_entries"`
	Loaded       []string `json:"loaded"`
	Adapters     []string `json:"adapters"`
	Role         string   `json:"role"`
}

// CacheEvents is the response to GET /cache_events.
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

// Order is the body of POST /orders. The engine accepts an order with status 202
// and executes it after EngineConfig.OrderMs.
type Order struct {
	// Fence is the fencing token of the sender's lease.
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	// Model is model@version for OrderLoad and OrderUnload.
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// OrderResponse is the response to an accepted order.
type OrderResponse struct {
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

// reportLoop updates the load report until ctx is done.
func (e *Engine) reportLoop(ctx context.Context) {
	defer e.done.Done()
	for sleep(ctx, milliseconds(e.cfg.LoadReportMs)) == nil {
		e.mu.Lock()
		if time.Now().After(e.faults.reportHeldUntil) {
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
		return writeError(c, http.StatusBadRequest, "invalid_request_error", "after is not a number")
	}
	e.mu.Lock()
	response := CacheEvents{Epoch: e.epoch, Events: e.cache.eventsAfter(after, time.Now(), e.cacheEventDelay)}
	e.mu.Unlock()
	return c.JSON(http.StatusOK, response)
}

func (e *Engine) serveOrder(c echo.Context) error {
	var o Order
	if err := decodeBody(c, &o); err != nil {
		return err
	}
	e.mu.Lock()
	status, reason := e.acceptOrderLocked(o)
	response := OrderResponse{Epoch: e.epoch, Fence: e.fencingToken}
	e.mu.Unlock()
	if status != http.StatusAccepted {
		return writeError(c, status, "order_refused", reason)
	}
	time.AfterFunc(milliseconds(e.cfg.OrderMs), func() { e.executeOrder(o, response.Epoch) })
	return c.JSON(status, response)
}

// acceptOrderLocked checks an order against the fencing token and the settings. It
// returns the HTTP status and, for a rejected order, the reason.
func (e *Engine) acceptOrderLocked(o Order) (int, string) {
	if e.cfg.Fence == FenceEnforce && o.Fence < e.fencingToken {
		return http.StatusConflict, "fencing number is lower than " + strconv.FormatUint(e.fencingToken, 10)
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
	e.fencingToken = max(e.fencingToken, o.Fence)
	return http.StatusAccepted, ""
}

// loadTimeout bounds the time to fetch the weights of a version, and
// maxWeightBytes their size.
const (
	loadTimeout    = time.Minute
	maxWeightBytes = 1 << 30
)

// fetchWeights fetches the weights of a version, and retries as the store asks when
// it is rate limited. It returns false if the weights are not available.
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
			e.log.Info().Err(err).Str("version", version).Msg("could not fetch weights")
			return false
		}
	}
}

// executeOrder executes an order unless the engine crashed or restarted after
// accepting it.
func (e *Engine) executeOrder(o Order, epoch uint64) {
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

func (e *Engine) newResponseWriter(c echo.Context) *limitedWriter {
	e.mu.Lock()
	defer e.mu.Unlock()
	return newLimitedWriter(c, e.faults.resetAfter)
}

// violation returns the violation of the protocol to commit, or "".
func (e *Engine) violation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.violation
}
