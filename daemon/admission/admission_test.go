package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func half() float64 { return 0.5 }

func entry(now time.Time, class int, workspace string, work time.Duration) *Entry {
	return &Entry{
		Class: class, Workspace: workspace, Kind: "kind", ArrivedAt: now, CallerSince: now,
		Target: time.Second, Deadline: now.Add(10 * time.Second), Work: work, Bytes: 100,
	}
}

// Guards against entries that are lost, end twice, are refused after half of their latency
// target or after a commitment, and against counts that drift from the content.
func TestEntriesEndOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := New(half), start
		waiting := map[*Entry]bool{}
		end := func(e *Entry) {
			if !waiting[e] {
				t.Fatalf("an entry ended that does not wait: %+v", e)
			}
			delete(waiting, e)
		}
		refuse := func(r *Refusal) {
			if r == nil {
				return
			}
			end(r.Entry)
			if held := now.Sub(r.Entry.ArrivedAt); r.Entry.Committed() || held > r.Entry.Target/2+400*time.Millisecond {
				t.Fatalf("refused after %s, committed %v", held, r.Entry.Committed())
			}
			if r.RetryAfter <= 0 {
				t.Fatalf("retry after %s", r.RetryAfter)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				e := entry(now, rapid.IntRange(-1, 12).Draw(t, "class"), fmt.Sprint(rapid.IntRange(0, 80).Draw(t, "workspace")),
					time.Duration(rapid.IntRange(0, 4000).Draw(t, "work"))*time.Millisecond)
				e.Deadline = now.Add(time.Duration(rapid.IntRange(10, 10_000).Draw(t, "deadline")) * time.Millisecond)
				e.CallerSince = now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond)
				waiting[e] = true
				refuse(q.Offer(now, e, 1))
			},
			"next": func(t *rapid.T) {
				decide(q, now, refuse, end)
				e := q.Next(now)
				switch {
				case e == nil && len(waiting) > 0:
					t.Fatalf("none of %d waiting entries is next", len(waiting))
				case e == nil:
				case rapid.Bool().Draw(t, "room"):
					q.Granted(now, e)
					end(e)
				default:
					q.Return(now, e)
				}
			},
			"leave": func(*rapid.T) {
				for e := range waiting {
					q.Remove(e)
					q.Remove(e)
					end(e)
					break
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				decide(q, now, refuse, end)
			},
			"": func(t *rapid.T) {
				var work time.Duration
				bytes := 0
				for e := range waiting {
					work += e.Work
					bytes += e.Bytes
				}
				n, sum := 0, time.Duration(0)
				for _, c := range q.State(now) {
					n += c.OnTime + c.Late
					sum += c.Work
				}
				if q.Len() != len(waiting) || n != len(waiting) || sum != work || q.bytes != bytes || len(q.due) != len(waiting) {
					t.Fatalf("%d entries, %d by class, %s, %d bytes; want %d, %s, %d", q.Len(), n, sum, q.bytes, len(waiting), work, bytes)
				}
			},
		})
	})
}

// decide makes the decisions that are due, as the gateway does.
func decide(q *Queue, now time.Time, refuse func(*Refusal), end func(*Entry)) {
	for e := q.Due(now); e != nil; e = q.Due(now) {
		if e.Committed() {
			if now.Before(e.latestStart) {
				panic("an entry must be sent before its time")
			}
			q.Remove(e)
			q.Granted(now, e)
			end(e)
			continue
		}
		refuse(q.Decide(now, e, false))
	}
}

// Guards against inversions of urgency: a request that can't meet its latency target, or a less
// urgent one, goes before others only within the guaranteed share of its class.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(half)
		q.Arrive(start, "w", time.Second)
		n := rapid.IntRange(1, 60).Draw(t, "entries")
		for range n {
			e := entry(start, rapid.IntRange(0, 4).Draw(t, "class"), "w", time.Duration(rapid.IntRange(1, 300).Draw(t, "work"))*time.Millisecond)
			e.Deadline = start.Add(time.Hour)
			if rapid.Bool().Draw(t, "late") {
				e.CallerSince = start.Add(-2 * time.Second)
			}
			if q.Offer(start, e, 1) != nil {
				t.Fatal("refused with an hour left")
			}
		}
		inverted := map[int]time.Duration{}
		var total time.Duration
		for e := q.Next(start); e != nil; e = q.Next(start) {
			for i := range q.classes {
				better := q.classes[i].onTime.entries > 0 && (e.Late() || i < e.Class) || q.classes[i].late.entries > 0 && e.Late() && i < e.Class
				if better {
					inverted[e.Class] += e.Work
					break
				}
			}
			total += e.Work
			if inverted[e.Class] > total/10+time.Millisecond {
				t.Fatalf("class %d got %s of %s before better ones", e.Class, inverted[e.Class], total)
			}
			q.Granted(start, e)
			n--
		}
		if n != 0 {
			t.Fatalf("%d entries were never next", n)
		}
	})
}

// serve offers requests for a time and grants room to one at a time, which takes its work.
// It returns the entries by the name of their workspace.
func serve(q *Queue, length time.Duration, offer func(now time.Time, add func(*Entry))) (offered, granted map[string][]*Entry, waits map[*Entry]time.Duration) {
	offered, granted, waits = map[string][]*Entry{}, map[string][]*Entry{}, map[*Entry]time.Duration{}
	free := start
	for now := start; now.Before(start.Add(length)); now = now.Add(10 * time.Millisecond) {
		offer(now, func(e *Entry) {
			offered[e.Workspace] = append(offered[e.Workspace], e)
			q.Arrive(now, e.Workspace, e.Work)
			q.Offer(now, e, 1)
		})
		decide(q, now, func(*Refusal) {}, func(*Entry) {})
		for !free.After(now) {
			e := q.Next(now)
			if e == nil {
				free = now.Add(time.Nanosecond)
				break
			}
			q.Granted(now, e)
			granted[e.Workspace] = append(granted[e.Workspace], e)
			waits[e] = now.Sub(e.ArrivedAt)
			free = free.Add(e.Work)
		}
	}
	return offered, granted, waits
}

// Guards against starvation: the least urgent class gets a tenth of the room while a more
// urgent one fills it.
func TestLeastUrgentClassGetsATenth(t *testing.T) {
	q := New(half)
	_, granted, _ := serve(q, 20*time.Second, func(now time.Time, add func(*Entry)) {
		for range 2 {
			add(entry(now, 0, "urgent", 10*time.Millisecond))
			e := entry(now, 3, "patient", 20*time.Millisecond)
			e.Deadline = now.Add(time.Minute)
			add(e)
		}
	})
	if got := len(granted["patient"]) * 20; got < 1800 || got > 4000 {
		t.Errorf("the least urgent class got %d ms of 20 s", got)
	}
}

// Guards against a workspace that delays the others by many times its usual load.
func TestWorkspaceBeyondItsUsualLoad(t *testing.T) {
	q := New(half)
	for s := range 60 {
		for _, w := range []string{"a", "b", "c"} {
			q.Arrive(start.Add(time.Duration(s-60)*time.Second), w, 200*time.Millisecond)
		}
	}
	step := 0
	offered, granted, waits := serve(q, 5*time.Second, func(now time.Time, add func(*Entry)) {
		if step++; step%5 == 0 {
			add(entry(now, 1, "a", 10*time.Millisecond))
			add(entry(now, 1, "b", 10*time.Millisecond))
		}
		for range 2 {
			add(entry(now, 1, "c", 10*time.Millisecond))
		}
	})
	for _, w := range []string{"a", "b"} {
		var longest time.Duration
		for _, e := range granted[w] {
			longest = max(longest, waits[e])
		}
		if len(granted[w]) < len(offered[w])*9/10 || longest > 300*time.Millisecond {
			t.Errorf("%s: %d of %d got room, the last after %s", w, len(granted[w]), len(offered[w]), longest)
		}
	}
}

// Guards against large requests that get no room in favour of small ones: the largest tenth is
// served at least half as often as all.
func TestLargestTenthIsServed(t *testing.T) {
	q := New(half)
	step, all, large := 0, [2]float64{}, [2]float64{}
	offered, granted, _ := serve(q, 60*time.Second, func(now time.Time, add func(*Entry)) {
		work := 20 * time.Millisecond
		if step++; step%10 == 0 {
			work = 300 * time.Millisecond
		}
		e := entry(now, 1, "w", work)
		e.Deadline = now.Add(4 * time.Second)
		add(e)
	})
	for i, list := range [][]*Entry{offered["w"], granted["w"]} {
		for _, e := range list {
			all[i]++
			if e.Work > 100*time.Millisecond {
				large[i]++
			}
		}
	}
	if large[1]/large[0] < 0.5*all[1]/all[0] {
		t.Errorf("served %.2f of all and %.2f of the large ones", all[1]/all[0], large[1]/large[0])
	}
}

// Guards against a queue that grows without bound, and against the refusal of a request that
// has come back, or of an urgent one, while a less urgent one waits.
func TestFullQueue(t *testing.T) {
	q := New(half)
	for range MaxEntries {
		e := entry(start, 1, "w", time.Millisecond)
		e.Deadline = start.Add(time.Hour)
		if q.Offer(start, e, 100) != nil {
			t.Fatal("refused before the queue was full")
		}
	}
	// It needs more work than the others and would be refused if it were new.
	returned := entry(start, 1, "w", 5*time.Millisecond)
	returned.CallerSince, returned.Deadline = start.Add(-100*time.Millisecond), start.Add(time.Hour)
	urgent := entry(start, 0, "w", time.Millisecond)
	patient := entry(start, 2, "w", time.Millisecond)
	urgent.Deadline, patient.Deadline = start.Add(time.Hour), start.Add(time.Hour)
	for _, e := range []*Entry{returned, urgent} {
		if r := q.Offer(start, e, 100); r == nil || r.Entry == e || r.Reason != QueueFull {
			t.Errorf("class %d, returned %v: got %+v, want the refusal of another one", e.Class, e.Returned(), r)
		}
	}
	if r := q.Offer(start, patient, 100); r == nil || r.Entry != patient {
		t.Errorf("the least urgent one was not refused: %+v", r)
	}
	if q.Len() != MaxEntries {
		t.Errorf("%d entries", q.Len())
	}
}

// Guards against a decision after half of the latency target, when the caller had better be
// refused at once, and against the refusal of a request that can still end.
func TestDecisionAtHalfOfTheTarget(t *testing.T) {
	q := New(half)
	hopeless, fine := entry(start, 3, "w", 100*time.Millisecond), entry(start, 0, "w", 100*time.Millisecond)
	for _, e := range []*Entry{hopeless, fine} {
		if q.Offer(start, e, 1) != nil {
			t.Fatal("refused at once")
		}
	}
	for range 200 {
		e := entry(start, 1, "w", 400*time.Millisecond)
		e.Deadline = start.Add(time.Hour)
		q.Offer(start, e, 1)
	}
	if e := q.Due(start.Add(499 * time.Millisecond)); e != nil {
		t.Fatal("decided early")
	}
	now, refused := start.Add(500*time.Millisecond), []*Entry(nil)
	decide(q, now, func(r *Refusal) {
		if r != nil {
			refused = append(refused, r.Entry)
		}
	}, func(*Entry) {})
	if len(refused) != 1 || refused[0] != hopeless || !fine.Committed() {
		t.Errorf("%d refused, the one with room committed: %v", len(refused), fine.Committed())
	}
}

// Guards against ages that are told from timeouts which differ between fresh requests.
func TestCallerAge(t *testing.T) {
	var same, scattered Timeouts
	for i := range 900 {
		same.Age(8 * time.Second)
		scattered.Age(time.Duration(3000+i%90*37) * time.Millisecond)
	}
	got := []time.Duration{same.Age(6500 * time.Millisecond), same.Age(8 * time.Second), same.Age(9 * time.Second), scattered.Age(3001 * time.Millisecond)}
	if want := []time.Duration{1500 * time.Millisecond, 0, 0, 0}; !slices.Equal(got, want) {
		t.Errorf("ages %v, want %v", got, want)
	}
}

// BenchmarkAdmission measures the offer and the grant of a request with 10,000 waiting.
func BenchmarkAdmission(b *testing.B) {
	for _, workspaces := range []int{1, 64, 5000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			q, now := New(half), start
			next, names := 0, make([]string, workspaces)
			for i := range names {
				names[i] = fmt.Sprint("w", i)
			}
			add := func() {
				next++
				e := entry(now, next%4, names[next%workspaces], time.Duration(next%200)*time.Millisecond)
				e.Deadline = now.Add(time.Hour)
				q.Offer(now, e, 1000)
			}
			for range 10_000 {
				add()
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(20 * time.Microsecond)
				add()
				for e := q.Due(now); e != nil; e = q.Due(now) {
					q.Decide(now, e, false)
				}
				if e := q.Next(now); e != nil {
					q.Granted(now, e)
				}
			}
		})
	}
}
