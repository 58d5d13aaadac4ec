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
	// Spread is the width of the range around the nominal quality within which the
	// difficulty of the prompt moves the score.
	Spread float64 `json:"spread"`
	// Noise is the width of the range of the pseudorandom part of a score, which
	// depends on the prompt and the version.
	Noise float64 `json:"noise"`
	// Difficulty is subtracted from the score, keyed by the kind of request.
	Difficulty map[string]float64 `json:"difficulty"`
}

// DefaultRatingConfig returns the settings of a rating service with a moderate
// spread.
func DefaultRatingConfig() RatingConfig {
	return RatingConfig{Spread: 0.2, Noise: 0.1, Difficulty: map[string]float64{}}
}

// RatingFaults is the body of POST /faults of the rating service.
type RatingFaults struct {
	CommonFaults
}

// Rating is an emulated rating service, which scores responses by their markers.
type Rating struct {
	commonEmulator
	cfg   RatingConfig
	rated atomic.Uint64
}

// StartRating serves a rating service on listen.
func StartRating(listen string, cfg RatingConfig, log zerolog.Logger) (*Rating, error) {
	s := &Rating{cfg: cfg}
	s.log = log
	r := newEcho(log)
	r.Use(s.injectFaults)
	r.POST("/rate", s.serveRate)
	r.GET("/stats", func(c echo.Context) error {
		return c.JSON(http.StatusOK, map[string]uint64{"rated": s.rated.Load()})
	})
	addFaultsRoute(r, s.SetFaults)
	s.server = NewFaultServer(r, log)
	return s, trace.Wrap(s.server.Start(listen))
}

// SetFaults sets the faults whose fields in f are present.
func (s *Rating) SetFaults(f RatingFaults) error { return s.setCommonFaults(f.CommonFaults) }

// Score returns the score of a response with marker m to a request of the given
// kind. Its mean over all prompts is the nominal quality less the kind's
// difficulty, unless scores are clamped to the range 0 to 1.
func (c RatingConfig) Score(m Marker, kind string) float64 {
	score := m.Quality - c.Difficulty[kind]
	score += c.Spread * (0.5 - hashFraction("difficulty\n"+kind+"\n"+m.Prompt))
	score += c.Noise * (0.5 - hashFraction("noise\n"+m.Model+"\n"+m.Prompt))
	return min(1, max(0, score))
}

// hashFraction maps a text deterministically to a number from 0 to 1.
func hashFraction(s string) float64 { return float64(xxhash.Sum64String(s)) / math.MaxUint64 }

// serveRate scores a response. A response that is truncated or altered, or comes
// from another version than the request states, scores 0.
func (s *Rating) serveRate(c echo.Context) error {
	var req platform.RatingRequest
	if err := decodeBody(c, &req); err != nil {
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
