package platform

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
)

// maxRatingBytes bounds the answer of the rating service, which is one number.
const maxRatingBytes = 4 << 10

// RatingRequest is an answer to be rated.
type RatingRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Kind is the caller's kind of request.
	Kind   string `json:"kind"`
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// ratingAnswer is the answer of the rating service.
type ratingAnswer struct {
	Score *float64 `json:"score"`
}

// RatingClient is a client of the rating service. It is safe for concurrent use.
type RatingClient struct {
	caller caller
}

// NewRatingClient returns a client of the rating service at the base URL.
func NewRatingClient(base string) *RatingClient { return &RatingClient{caller: newCaller(base)} }

// Close drops the idle connections.
func (r *RatingClient) Close() { r.caller.close() }

// Rate returns the score of an answer, 0 to 1. Errors are ErrUnavailable,
// ErrRateLimited, ErrResponseTooLarge, ErrBadResponse and trace.BadParameter
// when the service refuses the request.
func (r *RatingClient) Rate(ctx context.Context, req RatingRequest) (float64, error) {
	var a ratingAnswer
	_, _, err := r.caller.call(ctx, http.MethodPost, "/rate", req, &a, nil, maxRatingBytes)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if a.Score == nil || *a.Score < 0 || *a.Score > 1 {
		return 0, trace.Wrap(fmt.Errorf("%w: score is absent or outside 0..1", ErrBadResponse))
	}
	return *a.Score, nil
}
