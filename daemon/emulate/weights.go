package emulate

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// WeightsConfig holds the settings of the weight store emulator.
type WeightsConfig struct {
	// Objects maps object names to sizes in bytes.
	Objects map[string]int64 `json:"objects"`
	// DefaultBytes is the size of objects that are not in Objects; 0 means that
	// they do not exist.
	DefaultBytes int64 `json:"default_bytes"`
	// FetchesPerSecond and Burst limit the total fetch rate of all callers. A
	// FetchesPerSecond of 0 means no limit.
	FetchesPerSecond float64 `json:"fetches_per_second"`
	Burst            int     `json:"burst"`
}

// WeightsFaults is the body of POST /faults of the weight store.
type WeightsFaults struct {
	CommonFaults
	// FetchesPerSecond replaces WeightsConfig.FetchesPerSecond; 0 means no limit.
	FetchesPerSecond *float64 `json:"fetches_per_second,omitempty"`
}

// Weights is an emulated weight store.
type Weights struct {
	commonEmulator
	cfg     WeightsConfig
	limiter *rate.Limiter
}

// DefaultWeightsConfig returns the settings of a store with objects of 1 MiB and a
// limit of two fetches per second.
func DefaultWeightsConfig() WeightsConfig {
	return WeightsConfig{DefaultBytes: 1 << 20, FetchesPerSecond: 2, Burst: 2}
}

// StartWeights serves a weight store on listen.
func StartWeights(listen string, cfg WeightsConfig, log zerolog.Logger) (*Weights, error) {
	if cfg.FetchesPerSecond < 0 || (cfg.FetchesPerSecond > 0 && cfg.Burst < 1) {
		return nil, trace.BadParameter("want fetches_per_second of 0 or more and burst of 1 or more")
	}
	w := &Weights{cfg: cfg, limiter: rate.NewLimiter(fetchRate(cfg.FetchesPerSecond), cfg.Burst)}
	w.log = log
	r := newEcho(log)
	r.Use(w.injectFaults)
	r.GET("/weights/:name", w.serveObject)
	addFaultsRoute(r, w.SetFaults)
	w.server = NewFaultServer(r, log)
	return w, trace.Wrap(w.server.Start(listen))
}

func fetchRate(perSecond float64) rate.Limit {
	if perSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// SetFaults sets the faults whose fields in f are present.
func (w *Weights) SetFaults(f WeightsFaults) error {
	if f.FetchesPerSecond != nil {
		if *f.FetchesPerSecond < 0 {
			return trace.BadParameter("fetches_per_second must be 0 or more")
		}
		w.limiter.SetLimit(fetchRate(*f.FetchesPerSecond))
	}
	return w.setCommonFaults(f.CommonFaults)
}

func (w *Weights) serveObject(c echo.Context) error {
	name := c.Param("name")
	size, ok := w.cfg.Objects[name]
	if !ok {
		size = w.cfg.DefaultBytes
	}
	if size <= 0 {
		return writeError(c, http.StatusNotFound, "not_found", "no such object")
	}
	if wait := w.reserveFetch(time.Now()); wait > 0 {
		seconds := int(math.Ceil(wait.Seconds()))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
		return writeError(c, http.StatusTooManyRequests, "rate_limited", "fetch rate exceeded")
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.FormatInt(size, 10))
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEOctetStream)
	c.Response().WriteHeader(http.StatusOK)
	_, err := io.CopyN(c.Response(), &randomReader{state: xxhash.Sum64String(name)}, size)
	return err
}

// reserveFetch returns 0 and counts a fetch when one is allowed now, else the time
// until one is.
func (w *Weights) reserveFetch(now time.Time) time.Duration {
	r := w.limiter.ReserveN(now, 1)
	if !r.OK() {
		return time.Hour
	}
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// randomReader yields pseudorandom bytes that depend only on its initial state.
type randomReader struct{ state uint64 }

// Read fills p; it never fails.
func (r *randomReader) Read(p []byte) (int, error) {
	for i := range p {
		r.state = r.state*6364136223846793005 + 1442695040888963407
		p[i] = byte(r.state >> 56)
	}
	return len(p), nil
}
