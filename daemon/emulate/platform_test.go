package emulate

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"cactusknot.example/daemon/platform"
)

// The VM list must apply its lag and honor If-None-Match, and an outage must not look
// like an empty list.
func TestVMList(t *testing.T) {
	a := platform.VM{Name: "a", Role: platform.VMAgent, DataCentre: "d1", State: platform.VMLive}
	v, err := StartVMs("127.0.0.1:0", VMsConfig{VMs: []platform.VM{a}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer v.Close()
	c := platform.NewVMListClient(v.URL())
	defer c.Close()
	ctx := context.Background()
	first, changed, err := c.List(ctx)
	if err != nil || !changed || len(first.VMs) != 1 {
		t.Fatalf("first list: %+v %v %v", first, changed, err)
	}
	if again, changed, err := c.List(ctx); err != nil || changed || again.Revision != first.Revision {
		t.Errorf("unchanged list: %+v %v %v", again, changed, err)
	}
	_ = v.SetFaults(VMsFaults{LagMs: intPtr(3600 * 1000)})
	a.State = platform.VMLeaving
	if err := v.Change(VMsChange{Set: []platform.VM{a}}); err != nil {
		t.Fatal(err)
	}
	if _, changed, err := c.List(ctx); err != nil || changed {
		t.Errorf("a change was visible before its lag: %v", err)
	}
	v.mu.Lock()
	v.pending[0].due = v.pending[0].due.Add(-2 * 3600 * 1e9)
	v.mu.Unlock()
	if late, changed, err := c.List(ctx); err != nil || !changed || late.VMs[0].State != platform.VMLeaving {
		t.Errorf("late list: %+v %v %v", late, changed, err)
	}
	on := true
	_ = v.SetFaults(VMsFaults{CommonFaults: CommonFaults{Outage: &on}})
	if _, _, err := c.List(ctx); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("outage: %v", err)
	}
}

// The store must enforce the fetch rate. The client must return an object whole, and
// reject an object above its size limit.
func TestWeights(t *testing.T) {
	cfg := WeightsConfig{Objects: map[string]int64{"small": 1000, "large": 5000}, FetchesPerSecond: 1e-3, Burst: 2}
	w, err := StartWeights("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	c := platform.NewWeightsClient(w.URL(), 2000)
	defer c.Close()
	ctx := context.Background()
	var got bytes.Buffer
	if n, err := c.Fetch(ctx, "small", &got); err != nil || n != 1000 || got.Len() != 1000 {
		t.Errorf("small: %d %v", n, err)
	}
	if _, err := c.Fetch(ctx, "large", &got); !errors.Is(err, platform.ErrResponseTooLarge) {
		t.Errorf("large: %v", err)
	}
	_, err = c.Fetch(ctx, "small", &got)
	var limited *platform.RateLimitError
	if !errors.Is(err, platform.ErrRateLimited) || !errors.As(err, &limited) || limited.RetryAfter <= 0 {
		t.Errorf("beyond the rate: %v", err)
	}
}

// Scores must follow the quality of the version, and an altered response must score
// 0.
func TestRating(t *testing.T) {
	cfg := DefaultRatingConfig()
	s, err := StartRating("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := platform.NewRatingClient(s.URL())
	defer c.Close()
	score := func(quality float64, cut int) float64 {
		response := ""
		for _, token := range responseTokens("diary@2", "p", quality, 5) {
			response += token
		}
		req := platform.RatingRequest{Model: "diary", Version: "2", Prompt: "p", Answer: response[cut:]}
		got, err := c.Rate(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	if good, bad := score(0.8, 0), score(0.3, 0); good <= bad || bad == 0 {
		t.Errorf("scores %v and %v", good, bad)
	}
	if got := score(0.8, 1); got != 0 {
		t.Errorf("an altered response scored %v", got)
	}
	sum := 0.0
	const n = 2000
	for i := range n {
		sum += cfg.Score(Marker{Model: "m@1", Quality: 0.5, Prompt: string(rune(i))}, "k")
	}
	if mean := sum / n; mean < 0.48 || mean > 0.52 {
		t.Errorf("mean score %v, want the nominal quality 0.5", mean)
	}
}

// Every effect must be counted, since an uncounted one would hide duplicates, and
// resets must occur on the configured side of the effect.
func TestServiceCountsEffects(t *testing.T) {
	cfg := DefaultServiceConfig()
	cfg.ServiceMs = 0
	s, err := StartService("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	book := func(ref string) error {
		status, text, err := post(t, s.URL()+"/bookings", map[string]string{"ref": ref})
		if err == nil && status != http.StatusCreated {
			t.Errorf("%s: %d %s", ref, status, text)
		}
		return err
	}
	for ref, f := range map[string]ServiceFaults{
		"before": {ResetBefore: intPtr(1)},
		"after":  {ResetAfter: intPtr(1)},
	} {
		_ = s.SetFaults(f)
		if book(ref) == nil {
			t.Errorf("%s: the connection was not reset", ref)
		}
	}
	_ = book("twice")
	_ = book("twice")
	got := s.Effects()
	if got.ByRef["before"] != 0 || got.ByRef["after"] != 1 || got.Total != 3 {
		t.Errorf("effects %+v", got)
	}
	if len(got.Duplicates) != 1 || got.Duplicates[0] != "twice" {
		t.Errorf("duplicates %v", got.Duplicates)
	}
}

// A crash must end the calls that are waiting for a slot, so that they have no
// effect.
func TestServiceCrashEndsWaitingCalls(t *testing.T) {
	cfg := DefaultServiceConfig()
	cfg.ServiceMs, cfg.Concurrent = 3600*1000, 1
	s, err := StartService("127.0.0.1:0", cfg, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	held := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.held
	}
	for range 2 {
		go func() { _, _, _ = post(t, s.URL()+"/bookings", map[string]string{"ref": "r"}) }()
	}
	waitFor(t, "both calls held", func() bool { return held() == 2 })
	s.Crash()
	waitFor(t, "no call held", func() bool { return held() == 0 })
	if got := s.Effects(); got.Total != 0 {
		t.Errorf("effects %+v", got)
	}
}
