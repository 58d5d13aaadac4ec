package selection

import (
	"testing"
	"time"

	"cactusknot.example/daemon/topology"
)

var streamRequest = Request{Service: "svc", Model: "l", ModelRank: 1, PromptTokens: 100, Self: "r0", Routers: []string{"r0"}, AnswerEvents: 40}

// stream plays a stream on one server with the given time between its events.
func stream(t *testing.T, c *Chooser, now time.Time, server *topology.Server, interval time.Duration) {
	t.Helper()
	choice, ok := c.Choose(now, []*topology.Server{server}, streamRequest)
	if !ok {
		t.Fatal("no server")
	}
	choice.RecordFirstByte(now.Add(choice.ExpectedFirstByte))
	for range 4 {
		choice.RecordEvents(now, 5, 5*interval)
	}
	choice.End(now, Succeeded)
}

// Streams that the deadline cuts must count: on a day, an engine was at work until the
// deadline for 300 of 14,600 requests, because only finished streams were observed.
func TestCutStreamsRuleOutLongAnswers(t *testing.T) {
	c, list, now := New(), servers(3), start
	r := streamRequest
	r.Within = 5 * time.Second
	for i := range 60 {
		choice, ok := c.Choose(now, list, r)
		if !ok {
			if i < 2 {
				t.Fatal("the initial estimate rules out the stream")
			}
			return
		}
		choice.RecordFirstByte(now.Add(choice.ExpectedFirstByte))
		now = now.Add(r.Within)
		// Two events arrived within the first second; then nothing until the cut.
		choice.RecordCut(now, 1, time.Second, r.Within)
		choice.End(now, Cancelled)
	}
	t.Error("after 60 streams that were cut the next one is expected to end")
}

// A stream that one server can't end in time must go to another one that can, and must not
// begin if none can.
func TestSlowServerIsNoOptionForLongAnswer(t *testing.T) {
	c, list, now := New(), servers(2), start
	for range 60 {
		stream(t, c, now, list[0], 150*time.Millisecond)
		stream(t, c, now, list[1], 70*time.Millisecond)
	}
	r := streamRequest
	for _, want := range []struct {
		within time.Duration
		server string
	}{{4 * time.Second, "s1"}, {2 * time.Second, ""}} {
		r.Within = want.within
		got := ""
		if estimate, ok := c.Estimate(now, list, r); ok {
			got = estimate.Server.ID
		}
		if got != want.server {
			t.Errorf("within %s: server %q, want %q", want.within, got, want.server)
		}
	}
}

// The time between events has to be learnt by load: with one average, streams begun at a
// busy server would be expected to end as early as those at an idle one.
func TestIntervalGrowsWithLoad(t *testing.T) {
	c, list, now := New(), servers(1), start
	interval := func(running int) time.Duration {
		c.SetPeerWork(now, map[string]OutstandingWork{"s0": {InFlight: running}})
		estimate, _ := c.Estimate(now, list, streamRequest)
		return estimate.EventInterval
	}
	for range 200 {
		for _, running := range []int{1, 24} {
			now = now.Add(10 * time.Millisecond)
			c.SetPeerWork(now, map[string]OutstandingWork{"s0": {InFlight: running}})
			stream(t, c, now, list[0], time.Duration(40+4*running)*time.Millisecond)
		}
	}
	for _, running := range []int{1, 12, 24} {
		want := time.Duration(40+4*running) * time.Millisecond
		if got := interval(running); got < want*8/10 || got > want*12/10 {
			t.Errorf("%d running: %s between events, observed %s", running, got, want)
		}
	}
}

// A slow period must not rule out a model forever: without streams of it nothing would
// show that the period is over.
func TestSlowPeriodIsForgotten(t *testing.T) {
	c, list, now := New(), servers(1), start
	for range 100 {
		stream(t, c, now, list[0], 300*time.Millisecond)
	}
	r := streamRequest
	r.Within = 8 * time.Second
	if _, ok := c.Estimate(now, list, r); ok {
		t.Fatal("a stream of 12 s is expected to end within 8 s")
	}
	if _, ok := c.Estimate(now.Add(3*time.Minute), list, r); !ok {
		t.Error("a slow period is still held against the model after 3 minutes")
	}
}

// One observation far from all others must have little effect.
func TestOutlierIsBounded(t *testing.T) {
	c, list := New(), servers(1)
	stream(t, c, start, list[0], 90*time.Millisecond)
	before, _ := c.Estimate(start, list, streamRequest)
	choice, _ := c.Choose(start, list, streamRequest)
	choice.RecordEvents(start, 1, time.Hour)
	choice.End(start, Succeeded)
	if after, _ := c.Estimate(start, list, streamRequest); after.EventInterval > before.EventInterval*11/10 {
		t.Errorf("one pause of an hour: %s between events, %s before", after.EventInterval, before.EventInterval)
	}
}
