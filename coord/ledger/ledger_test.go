package ledger

import (
	"errors"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/coord/clock"
)

func lineGenerator() *rapid.Generator[Line] {
	return rapid.Custom(func(t *rapid.T) Line {
		name := rapid.StringN(0, 10, MaxNameBytes)
		l := Line{
			Step: rapid.Uint32().Draw(t, "step"), Attempt: rapid.Uint32().Draw(t, "attempt"),
			Workspace: name.Draw(t, "workspace"), Model: name.Draw(t, "model"), Version: name.Draw(t, "version"),
			TokensIn: rapid.Uint64().Draw(t, "in"), TokensOut: rapid.Uint64().Draw(t, "out"),
			AmountMicros: rapid.Uint64().Draw(t, "amount"), BundleVersion: rapid.Uint64().Draw(t, "bundle"),
			CompletedMS: rapid.Int64Min(0).Draw(t, "completed"),
		}
		copy(l.RequestID[:], rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "id"))
		return l
	})
}

// Lines must survive encoding and decoding unchanged, truncated values must be
// rejected, and the encoded size must not exceed its calculated maximum.
func TestEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(lineGenerator(), 1, 5).Draw(t, "lines")
		data := encodeLines(7, lines)
		written, back, err := decodeLines(data)
		if err != nil || written != 7 || len(back) != len(lines) {
			t.Fatal(written, back, err)
		}
		bound := 0
		for i, l := range lines {
			if back[i] != l {
				t.Fatalf("%+v, want %+v", back[i], l)
			}
			bound += maxEncodedSize(l)
		}
		if len(data) > bound+2*10+1 {
			t.Fatal(len(data), bound)
		}
		cut := rapid.IntRange(0, len(data)-1).Draw(t, "cut")
		if _, _, err := decodeLines(data[:cut]); !errors.Is(err, ErrInvalidFormat) {
			t.Fatal(err)
		}
	})
}

func testLine(i int, attempt uint32, completed time.Time) Line {
	return Line{
		RequestID: [16]byte{byte(i >> 8), byte(i)}, Attempt: attempt, Workspace: workspaceOf(i),
		TokensIn: 1, AmountMicros: 5, CompletedMS: completed.UnixMilli(),
	}
}

// The queue must not lose a line or exceed its capacity, and lines that are not
// acknowledged must not delay the others.
func TestQueue(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	q := NewQueue(clk, 3)
	for i := range 3 {
		if !q.Reserve() {
			t.Fatal(i)
		}
		q.Commit(testLine(i, 2, clk.Now()))
	}
	if q.Reserve() {
		t.Fatal("reservation above the capacity")
	}
	q.Commit(testLine(0, 1, clk.Now()))
	if lines := q.Pending(15*time.Second, 9); len(lines) != 0 {
		t.Fatal("lines returned before olderThan has passed", lines)
	}
	clk.Advance(15 * time.Second)
	if lines := q.Pending(15*time.Second, 2); len(lines) != 2 || lines[0].Attempt != 1 {
		t.Fatal(lines)
	}
	if lines := q.Pending(15*time.Second, 9); len(lines) != 1 || lines[0].ID() != testLine(2, 0, clk.Now()).ID() {
		t.Fatal(lines)
	}
	q.Acknowledge([]ID{testLine(1, 0, clk.Now()).ID(), testLine(1, 0, clk.Now()).ID()}, 0)
	if !q.Reserve() || q.Reserve() {
		t.Fatal("an acknowledged line must free space for exactly one line")
	}
	q.Release()
	clk.Advance(15 * time.Second)
	if lines := q.Pending(15*time.Second, 9); len(lines) != 2 {
		t.Fatal(lines)
	}
}

// Concurrent commits and acknowledgements must not lose lines, and the order list
// must not grow without limit.
func TestQueueConcurrent(t *testing.T) {
	const perWorker = 3000
	q := NewQueue(clock.System{}, 100)
	var wg sync.WaitGroup
	seen := make(map[ID]bool)
	for w := range 4 {
		wg.Go(func() {
			for i := 0; i < perWorker; {
				if !q.Reserve() {
					continue
				}
				q.Commit(testLine(w*perWorker+i, 0, time.Now()))
				i++
			}
		})
	}
	wg.Go(func() {
		for len(seen) < 4*perWorker {
			var ids []ID
			for _, l := range q.Pending(0, 64) {
				seen[l.ID()] = true
				ids = append(ids, l.ID())
			}
			q.Acknowledge(ids, 0)
		}
	})
	wg.Wait()
	if lines, reserved := q.Len(); lines != 0 || reserved != 0 || len(q.order) > maxStaleEntries+1 {
		t.Fatal(lines, reserved, len(q.order))
	}
}

// The shard must be the request ID modulo the number of shards.
func TestShard(t *testing.T) {
	id := [16]byte{0: 1, 15: 5} // 2^120 + 5
	if Shard(id, 1) != 0 || Shard(id, 2) != 1 || Shard(id, 7) != (1+5)%7 {
		t.Fatal(Shard(id, 1), Shard(id, 2), Shard(id, 7))
	}
}
