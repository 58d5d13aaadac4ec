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
	// Objects maps names to sizes in bytes.
	Objects map[string]int64 `json:"objects"`
	// DefaultBytes is the size of objects that are not listed; 0 means that they
	// do not exist.
	DefaultBytes int64 `json:"default_bytes"`
	// FetchesPerSecond and Burst limit the fetches of all callers together; 0
	// fetches per second means no limit.
	FetchesPerSecond float64 `json:"fetches_per_second"`
	Burst            int     `json:"burst"`
}

// WeightsFaults is the body of POST /faults of the weight store.
type WeightsFaults struct {
	CommonFaults
	// FetchesPerSecond replaces the setting; 0 means no limit.
	FetchesPerSecond *float64 `json:"fetches_per_second,omitempty"`
}

// Weights is the emulated weight store.
type Weights struct {
	base
	cfg     WeightsConfig
	limiter *rate.Limiter
}

// DefaultWeightsConfig returns a store of 1 MB objects with two fetches/s.
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
	r.Use(w.disturb)
	r.GET("/weights/:name", w.serveObject)
	faultRoutes(r, w.Apply)
	w.host = NewHost(r, log)
	return w, trace.Wrap(w.host.Start(listen))
}

func fetchRate(perSecond float64) rate.Limit {
	if perSecond == 0 {
		return rate.Inf
	}
	return rate.Limit(perSecond)
}

// Apply sets the faults that f names.
func (w *Weights) Apply(f WeightsFaults) error {
	if f.FetchesPerSecond != nil {
		if *f.FetchesPerSecond < 0 {
			return trace.BadParameter("fetches_per_second must be 0 or more")
		}
		w.limiter.SetLimit(fetchRate(*f.FetchesPerSecond))
	}
	return w.applyCommon(f.CommonFaults)
}

func (w *Weights) serveObject(c echo.Context) error {
	name := c.Param("name")
	size, ok := w.cfg.Objects[name]
	if !ok {
		size = w.cfg.DefaultBytes
	}
	if size <= 0 {
		return fail(c, http.StatusNotFound, "not_found", "no such object")
	}
	if wait := w.take(time.Now()); wait > 0 {
		seconds := int(math.Ceil(wait.Seconds()))
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(seconds))
		return fail(c, http.StatusTooManyRequests, "rate_limited", "fetch rate exceeded")
	}
	c.Response().Header().Set(echo.HeaderContentLength, strconv.FormatInt(size, 10))
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEOctetStream)
	c.Response().WriteHeader(http.StatusOK)
	_, err := io.CopyN(c.Response(), &wordReader{word: xxhash.Sum64String(name)}, size)
	return err
}

// take returns 0 when a fetch is allowed now, else the time until one is.
func (w *Weights) take(now time.Time) time.Duration {
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

// wordReader yields bytes that depend on a word only.
type wordReader struct{ word uint64 }

// Read fills p.
func (r *wordReader) Read(p []byte) (int, error) {
	for i := range p {
		r.word = r.word*6364136223846793005 + 1442695040888963407
		p[i] = byte(r.word >> 56)
	}
	return len(p), nil
}
