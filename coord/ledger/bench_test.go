package ledger

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
)

// benchmarkLine returns a line of typical size, with one of 10 workspaces and 19
// models.
func benchmarkLine(i int) Line {
	random := rand.New(rand.NewPCG(1, uint64(i)))
	l := Line{
		Workspace:     fmt.Sprintf("workspace-%d", i%10),
		Model:         fmt.Sprintf("model-%d", i%19),
		Version:       "3",
		Attempt:       1,
		TokensIn:      random.Uint64N(4000),
		TokensOut:     random.Uint64N(600),
		AmountMicros:  random.Uint64N(2000),
		BundleVersion: 100_000,
		CompletedMS:   time.Now().UnixMilli(),
	}
	binary.BigEndian.PutUint64(l.RequestID[:], random.Uint64())
	binary.BigEndian.PutUint64(l.RequestID[8:], uint64(i))
	return l
}

// BenchmarkSegmentBytes measures the encoded size of a line, depending on the number
// of lines in the segment. 7,800 requests/s in 32 shards result in 244 lines per
// second and shard.
func BenchmarkSegmentBytes(b *testing.B) {
	for _, count := range []int{1, 22, 244} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var lines []Line
			for i := range count {
				lines = append(lines, benchmarkLine(i))
			}
			size := 0
			for b.Loop() {
				size = len(kv.EncodeEnvelope(kv.WriteID{}, encodeLines(time.Now().UnixMilli(), lines)))
			}
			b.ReportMetric(float64(size)/float64(count), "B/line")
		})
	}
}

// BenchmarkQueueBytes measures the heap memory of a full Queue per line.
func BenchmarkQueueBytes(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		q := NewQueue(clock.System{}, DefaultQueueCapacity)
		for i := range DefaultQueueCapacity {
			q.Reserve()
			q.Commit(benchmarkLine(i))
		}
		b.ReportMetric(float64(heapBytes()-before)/DefaultQueueCapacity, "B/line")
		runtime.KeepAlive(q)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestStoreCalls checks that a segment needs no more store calls than the capacity
// calculation assumes: one write, one read of the totals and one deletion.
func TestStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const segments = 100
		s := newTestStore(1)
		c := newTestCollector(s, nil, 1)
		for i := range segments {
			if _, err := deliverAndFlush(c, benchmarkLine(i)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		calls := func(kind kv.CallKind) uint64 { return s.Usage()[kind].Calls }
		puts, gets := calls(kv.KindPut), calls(kv.KindGet)
		// Reading the log initially takes up to 3 more calls.
		if puts != segments || gets > segments+3 {
			t.Errorf("%d writes and %d reads for %d segments", puts, gets, segments)
		}
		time.Sleep(2 * time.Hour)
		for range 3 {
			if err := c.Fold(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(DefaultFoldGrace)
		}
		t.Logf("stored: %d writes, %d reads; folded: %d writes, %d deletions", puts, gets, calls(kv.KindPut)-puts, calls(kv.KindDelete))
		if calls(kv.KindDelete) != segments {
			t.Errorf("%d deletions for %d segments", calls(kv.KindDelete), segments)
		}
	})
}

// BenchmarkLogBytes measures the heap memory per line that a collector needs for one
// hour of a shard with 244 lines per second.
func BenchmarkLogBytes(b *testing.B) {
	const segments, lines = 3600, 244
	for b.Loop() {
		before := heapBytes()
		log := newShardLog(0, totals{}, 0)
		for n := range segments {
			s := segment{segmentRef: segmentRef{n: uint64(n + 1)}}
			for i := range lines {
				s.lines = append(s.lines, benchmarkLine(n*lines+i))
			}
			log.appendSegment(s, time.Now(), nil)
		}
		b.ReportMetric(float64(heapBytes()-before)/(segments*lines), "B/line")
		runtime.KeepAlive(log)
	}
}
