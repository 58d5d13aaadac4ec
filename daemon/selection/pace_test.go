package selection

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

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

// pick returns the ID of the server that would be chosen, or "".
func pick(c *Chooser, now time.Time, list []*topology.Server, r Request) string {
	estimate, ok := c.Estimate(now, list, r)
	if !ok {
		return ""
	}
	return estimate.Server.ID
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
		if got := pick(c, now, list, r); got != want.server {
			t.Errorf("within %s: server %q, want %q", want.within, got, want.server)
		}
	}
}

// The time between events has to be learnt by load: with one average, streams begun at a
// busy server would be expected to end as early as those at an idle one.
func TestIntervalGrowsWithLoad(t *testing.T) {
	c, list, now := New(), servers(1), start
	for range 200 {
		for _, running := range []int{1, 24} {
			now = now.Add(10 * time.Millisecond)
			c.SetPeerWork(now, map[string]OutstandingWork{"s0": {InFlight: running}})
			stream(t, c, now, list[0], time.Duration(40+4*running)*time.Millisecond)
		}
	}
	for _, running := range []int{1, 12, 24} {
		want := time.Duration(40+4*running) * time.Millisecond
		c.SetPeerWork(now, map[string]OutstandingWork{"s0": {InFlight: running}})
		estimate, _ := c.Estimate(now, list, streamRequest)
		if got := estimate.EventInterval; got < want*8/10 || got > want*12/10 {
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
	if soon, late := pick(c, now, list, r), pick(c, now.Add(3*time.Minute), list, r); soon != "" || late == "" {
		t.Errorf("server %q for a stream of 12 s within 8 s, and %q 3 minutes later", soon, late)
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

// unshared returns the nth request whose prompt no other request shares.
func unshared(n int) Request {
	return Request{
		Service: "svc", Model: "m", ModelRank: 1, PromptTokens: 2000, Routers: []string{"r0"},
		Prefixes: Prefixes("m", []string{fmt.Sprint("own", n)}, []int{2000}),
	}
}

// learn plays prompts that nobody shares, which take the given multiples of what is expected
// on average at the servers.
func learn(c *Chooser, now time.Time, list []*topology.Server, paces ...float64) {
	for n := range 200 {
		for i, pace := range paces {
			choice, _ := c.Choose(now, list[i:i+1], unshared(n))
			choice.RecordFirstByte(now.Add(scale(baseLatency+2000*maxTokenTime, pace)))
			choice.End(now, Succeeded)
		}
	}
}

// A slow server that holds the prompt keeps it: a trial that weighed pace alone read 10 to
// 20% more shared tokens again. A prompt that nobody shares goes to the faster server.
func TestSlowServerKeepsHeldPrompt(t *testing.T) {
	c, list, now := New(), servers(2), start
	shared := Request{
		Service: "svc", Model: "m", ModelRank: 1, PromptTokens: 2000, Routers: []string{"r0"},
		Prefixes: Prefixes("m", []string{"shared", "own"}, []int{800, 1200}),
	}
	holder, _ := c.Choose(now, list, shared)
	holder.RecordFirstByte(now)
	holder.End(now, Succeeded)
	other, paces := list[0], []float64{0.65, 1.6}
	if holder.Server == other {
		other, paces = list[1], []float64{1.6, 0.65}
	}
	learn(c, now, list, paces...)
	shared.Prefixes = Prefixes("m", []string{"shared", "another"}, []int{800, 1200})
	if got := pick(c, now, list, shared); got != holder.Server.ID {
		t.Errorf("the prompt left the slow server that holds it for %s", got)
	}
	if got := pick(c, now, list, unshared(-1)); got != other.ID {
		t.Errorf("a prompt that no server holds went to %s, which is slower", got)
	}
}

// A machine that is slow for half a second is avoided for that time and no longer, and what
// is expected there is that much later.
func TestMachineSlowForHalfASecond(t *testing.T) {
	c, list, now := New(), servers(2), start
	report := func(percent int) {
		choice, _ := c.Choose(now, list[:1], unshared(0))
		choice.RecordLoad(now, Load{Percent: percent})
		choice.End(now, Succeeded)
	}
	report(usualPercent)
	usual, _ := c.Estimate(now, list[:1], unshared(1))
	report(250)
	slow, _ := c.Estimate(now, list[:1], unshared(1))
	if ratio := float64(slow.FirstByte) / float64(usual.FirstByte); ratio < 2.2 || ratio > 2.6 {
		t.Errorf("the first byte is expected after %s, usually %s", slow.FirstByte, usual.FirstByte)
	}
	for after, want := range map[time.Duration]string{100 * time.Millisecond: "s1", slowdownAge: "s0"} {
		if got := pick(c, now.Add(after), list, unshared(1)); got != want {
			t.Errorf("%s is chosen %s after the report, want %s", got, after, want)
		}
	}
}

// A server that just reported a fast machine must not draw all requests until the next
// report: those that were sent since count.
func TestNoHerdOntoFastMachine(t *testing.T) {
	c, list := New(), servers(8)
	choice, _ := c.Choose(start, list[7:], unshared(0))
	choice.RecordLoad(start, Load{Percent: 30})
	choice.End(start, Succeeded)
	used := make(map[string]int)
	for i := range 80 {
		choice, _ := c.Choose(start.Add(time.Millisecond), list, unshared(i))
		used[choice.Server.ID]++
	}
	if used["s7"] > 11 || used["s7"] < 10 {
		t.Errorf("the fast machine gets %d of 80 requests, its share is 10: %v", used["s7"], used)
	}
}

// Engines of different pace on machines that are slow from time to time must not have more
// shared tokens read again than equal ones; see TestSharedPartsAreSeldomReadAgain.
func TestPaceReadsFewTokensAgain(t *testing.T) {
	const bound = 0.05
	s := newSimulationOf(50, 100)
	s.pace = make(map[string]float64)
	for i, server := range s.servers {
		s.pace[server.ID] = 0.6 + 0.84*float64(i%8)/7
	}
	s.slow = func(id string, now time.Time) float64 {
		if mixHashes(xxhash.Sum64String(id), uint64(now.UnixMilli()/400))%10 == 0 {
			return 2.5
		}
		return 1
	}
	s.run(60 * time.Second)
	if again := float64(s.readAgain) / float64(s.shared); again > bound {
		t.Errorf("%.3f of the shared tokens were read again, want at most %.3f", again, bound)
	}
}

// What was learnt of a server long ago must not decide: its machine may be another now.
func TestPaceIsForgotten(t *testing.T) {
	c, list := New(), servers(2)
	learn(c, start, list, 2, 1)
	if got := pick(c, start, list, unshared(-1)); got != "s1" {
		t.Errorf("%s is chosen, which is slow", got)
	}
	before := c.servers["s0"].pace.deviation
	pick(c, start.Add(3*paceHalfLife), list, unshared(-1))
	if after := c.servers["s0"].pace.deviation; after > before/3 {
		t.Errorf("deviation of %.2f after %s without observations, %.2f before", after, 3*paceHalfLife, before)
	}
}
