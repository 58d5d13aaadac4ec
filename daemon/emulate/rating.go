package emulate

import (
	"math"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cactusknot.example/daemon/platform"
)

// RatingConfig holds the settings of the rating emulator.
type RatingConfig struct {
	// Spread is the range within which the difficulty of prompts moves the score
	// up or down around the stated quality.
	Spread float64 `json:"spread"`
	// Noise is the range of the random part of a score, which depends on prompt
	// and version.
	Noise float64 `json:"noise"`
	// Difficulty is subtracted from the score by kind of request.
	Difficulty map[string]float64 `json:"difficulty"`
}

// DefaultRatingConfig returns a rating with a moderate spread.
func DefaultRatingConfig() RatingConfig {
	return RatingConfig{Spread: 0.2, Noise: 0.1, Difficulty: map[string]float64{}}
}

// RatingFaults is the body of POST /faults of the rating service.
type RatingFaults struct {
	CommonFaults
}

// Rating is the emulated rating service.
type Rating struct {
	base
	cfg   RatingConfig
	rated atomic.Uint64
}

// StartRating serves a rating service on listen.
func StartRating(listen string, cfg RatingConfig, log zerolog.Logger) (*Rating, error) {
	s := &Rating{cfg: cfg}
	s.log = log
	r := newEcho(log)
	r.Use(s.disturb)
	r.POST("/rate", s.serveRate)
	r.GET("/stats", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]uint64{"rated": s.rated.Load()})
	})
	faultRoutes(r, s.Apply)
	s.host = NewHost(r, log)
	return s, trace.Wrap(s.host.Start(listen))
}

// Apply sets the faults that f names.
func (s *Rating) Apply(f RatingFaults) error { return s.applyCommon(f.CommonFaults) }

// Score returns the score of the answer that carries m to a request of the
// kind. Its mean over prompts is the stated quality less the kind's difficulty,
// where the bounds of 0 and 1 do not cut it.
func (c RatingConfig) Score(m Marker, kind string) float64 {
	score := m.Quality - c.Difficulty[kind]
	score += c.Spread * (0.5 - unit("difficulty\n"+kind+"\n"+m.Prompt))
	score += c.Noise * (0.5 - unit("noise\n"+m.Model+"\n"+m.Prompt))
	return min(1, max(0, score))
}

// unit maps a text to a number of 0 to 1.
func unit(s string) float64 { return float64(xxhash.Sum64String(s)) / math.MaxUint64 }

// serveRate scores an answer. An answer that is cut short or of another version
// than the request names gets 0.
func (s *Rating) serveRate(c echo.Context) error {
	var req platform.RatingRequest
	if err := readStrict(c, &req); err != nil {
		return err
	}
	s.rated.Add(1)
	score := 0.0
	m, err := ParseResponse(req.Answer)
	if err == nil && m.Model == req.Model+"@"+req.Version {
		score = s.cfg.Score(m, req.Kind)
	}
	return c.JSON(http.StatusOK, map[string]float64{"score": score})
}
