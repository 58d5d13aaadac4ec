package platform

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gravitational/trace"
)

// maxRatingBytes bounds the response of the rating service, which is one number.
const maxRatingBytes = 4 << 10

// RatingRequest describes a model's answer to be rated.
type RatingRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Kind is the kind of request that the caller named.
	Kind   string `json:"kind"`
	Prompt string `json:"prompt"`
	Answer string `json:"answer"`
}

// ratingResponse is the response of the rating service.
type ratingResponse struct {
	Score *float64 `json:"score"`
}

// RatingClient is a client of the rating service. It is safe for concurrent use.
type RatingClient struct {
	client httpClient
}

// NewRatingClient returns a client of the rating service at the base URL.
func NewRatingClient(base string) *RatingClient { return &RatingClient{client: newHTTPClient(base)} }

// Close closes the idle connections.
func (r *RatingClient) Close() { r.client.close() }

// Rate returns the score of an answer, from 0 to 1. Its errors are ErrUnavailable,
// ErrRateLimited, ErrResponseTooLarge, ErrBadResponse and, if the service rejects
// the request, trace.BadParameter.
func (r *RatingClient) Rate(ctx context.Context, req RatingRequest) (float64, error) {
	var a ratingResponse
	_, _, err := r.client.call(ctx, http.MethodPost, "/rate", req, &a, nil, maxRatingBytes)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if a.Score == nil || *a.Score < 0 || *a.Score > 1 {
		return 0, trace.Wrap(fmt.Errorf("%w: score is missing or outside 0..1", ErrBadResponse))
	}
	return *a.Score, nil
}
