package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/daemon/transfer"
)

// Rates of thin links in bytes per second.
const (
	tenMbit  = 10_000_000 / 8
	fourMbit = 4_000_000 / 8
)

// thinLink delays what one router receives. The transfers on a link share it in turn.
type thinLink struct {
	mu sync.Mutex
	// rate is in bytes per second; 0 means no limit.
	rate int
	// free is when the bytes that are already under way have arrived.
	free     time.Time
	received int
}

// linkUnit is the number of bytes that a transfer sends in its turn.
const linkUnit = 16 << 10

// receive waits until n more bytes have arrived, or returns the error of ctx.
func (l *thinLink) receive(ctx context.Context, n int) error {
	for ; n > 0; n -= linkUnit {
		if err := l.receiveUnit(ctx, min(n, linkUnit)); err != nil {
			return err
		}
		transfer.Received(ctx)
	}
	return ctx.Err()
}

func (l *thinLink) receiveUnit(ctx context.Context, n int) error {
	l.mu.Lock()
	l.received += n
	now := time.Now()
	if l.rate > 0 {
		l.free = latest(l.free, now).Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	}
	free := l.free
	l.mu.Unlock()
	if free.After(now) {
		sleep(ctx, free.Sub(now))
	}
	return ctx.Err()
}

func (l *thinLink) setRate(rate int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.received = rate, 0
}

func (l *thinLink) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// arrivingBody is the body of a response that arrives on a link.
type arrivingBody struct {
	io.Reader
	ctx  context.Context
	link *thinLink
}

// Read implements io.Reader.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p[:min(len(p), linkUnit)])
	if n > 0 {
		if err := b.link.receive(b.ctx, n); err != nil {
			return 0, err
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *arrivingBody) Close() error { return nil }

// testRoute has the size of a route in the platform's configuration.
type testRoute struct {
	Name, Hostname, Prefix, Backend, RouteType string
	TimeoutMS, TargetLatencyMS, MaxAttempts    int
}

// largeConfig returns a configuration with some routes. The first routes of all versions are the
// same.
func largeConfig(version uint64, routes int) []byte { return configOf(version, routes, 1) }

// configOf returns a configuration with routes that depend on a seed.
func configOf(version uint64, routes int, seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, seed))
	name := func() string { return fmt.Sprintf("%010x", random.Uint64()>>24) }
	list := make([]testRoute, 0, routes)
	for range routes {
		list = append(list, testRoute{
			Name: "r-" + name(), Hostname: name() + ".example", Prefix: "/" + name() + "/", Backend: "backend-a", RouteType: "streaming",
			TimeoutMS: 12_000, TargetLatencyMS: 2000, MaxAttempts: 3,
		})
	}
	raw, _ := json.Marshal(struct {
		Version uint64
		Routes  []testRoute
	}{version, list})
	return raw
}

// thin gives all routers that no other router polls a thin link, and returns them.
func (f *virtualFleet) thin(rate int) []int {
	var routers []int
	for i, e := range f.edges {
		if !e.controller.isReader() {
			f.links[i].inbound.setRate(rate)
			routers = append(routers, i)
		}
	}
	return routers
}

// Guards against a router that never gets a large configuration because each transfer on its thin
// link is ended by a time bound that knows no size, or runs beside repetitions of itself. Versions
// come 3.66 s apart, as operators send them to a large fleet.
func TestLargeConfigurationsReachRoutersOnThinLinks(t *testing.T) {
	for _, c := range []struct {
		name             string
		routers, readers int
		rate             int
		// allowed is the time from the writing of a version until it is in force.
		allowed time.Duration
	}{
		{"followers of readers", 5, 2, tenMbit, DefaultConfigApply},
		{"routers that read the store", 2, 0, tenMbit, DefaultConfigApply},
		// The largest value takes 2 s on this link.
		{"routers that read the store on a thinner link", 2, 0, fourMbit, DefaultConfigApply + 2*time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startVirtualFleet(t, c.routers, c.readers)
				thin := f.thin(c.rate)
				total := 0
				for version := uint64(2); version <= 4; version++ {
					value := largeConfig(version, int(version-1)*1400)
					total += len(value)
					written := time.Now()
					f.store.put("config", value)
					for _, i := range thin {
						within(t, c.allowed-time.Since(written), fmt.Sprintf("router %d applies version %d of %d bytes", i, version, len(value)),
							func() bool { return f.version(i) >= version })
					}
					time.Sleep(3660*time.Millisecond - time.Since(written))
				}
				for _, i := range thin {
					// The store writes values as base64; a tenth is for all other messages.
					if most := total*4/3 + total/10; f.links[i].inbound.bytes() > most {
						t.Errorf("router %d received %d bytes, all versions together have %d", i, f.links[i].inbound.bytes(), total)
					}
				}
			})
		})
	}
}

// startThinFleet starts three followers of two readers, with a large configuration in force, and
// gives the followers thin links. It returns one of them.
func startThinFleet(t *testing.T, rate int) (f *virtualFleet, follower int) {
	t.Helper()
	f = startVirtualFleet(t, 5, 2)
	f.store.put("config", largeConfig(2, 4200))
	for i := range f.edges {
		within(t, DefaultConfigApply, "the configuration is applied", func() bool { return f.version(i) == 2 })
	}
	return f, f.thin(rate)[0]
}

// Guards against a change of one route that costs as much as the whole configuration.
func TestAChangeOfAConfigurationCostsItsOwnSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, follower := startThinFleet(t, tenMbit)
		f.store.put("config", bytes.Replace(largeConfig(3, 4200), []byte("streaming"), []byte("safe"), 1))
		within(t, DefaultConfigApply, "the change is applied", func() bool { return f.version(follower) == 3 })
		if n := f.links[follower].inbound.bytes(); n > 10_000 {
			t.Errorf("a change of one route cost %d bytes", n)
		}
	})
}

// Guards against a server that gets requests after it has left because its departure waits behind
// a large value, and against a router that does not know that it lags.
func TestSmallChangesPassALargeValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, follower := startThinFleet(t, fourMbit/4)
		f.store.put("config", largeConfig(3, 4600))
		time.Sleep(100 * time.Millisecond)
		f.store.put("servers/a", testServer{Service: "svc", Draining: true})
		within(t, time.Second, "the server is not used", func() bool { return !f.uses(follower, "a") })
		if v := f.edges[follower].view.Load(); v.Config.Version != 2 || !v.ConfigBehind {
			t.Errorf("version %d, behind %t while the new one arrives", v.Config.Version, v.ConfigBehind)
		}
		if s := f.edges[follower].fetcher.current.Load(); s == nil || s.key != "config" {
			t.Errorf("fetching %+v", s)
		}
		within(t, 10*time.Second, "the new version is applied", func() bool { return f.version(follower) == 3 })
		if f.edges[follower].view.Load().ConfigBehind {
			t.Error("still behind")
		}
	})
}

// Guards against a value that is fetched from the first byte again when its source stops or a newer
// version comes, and against one that no source can hand out.
func TestFetchGoesOnWhereItStopped(t *testing.T) {
	for _, c := range []struct {
		name string
		// frozen is the number of readers that stop in the middle of a fetch.
		frozen int
		// version is the version that is to be applied. Version 4 comes in the middle of a fetch.
		version uint64
		allowed time.Duration
		// most bounds the bytes that are received, in calls for parts beside the compressed value;
		// 0 means no bound.
		most int
	}{
		{"one reader stops", 1, 3, 4 * time.Second, 2},
		{"all readers stop", 2, 3, 12 * time.Second, 0},
		{"a newer version comes", 0, 4, 4 * time.Second, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f, follower := startThinFleet(t, fourMbit/4)
			value := configOf(3, 4200, 3)
			f.store.put("config", value)
			time.Sleep(600 * time.Millisecond)
			left := f.edges[follower].fetcher.current.Load()
			if left == nil || left.remaining == 0 || left.remaining == left.size {
				t.Fatalf("%s: not in the middle of a fetch: %+v", c.name, left)
			}
			f.freezeReaders(*f.edges[follower].controller.currentReader.Load(), c.frozen)
			if c.version == 4 {
				f.store.put("config", configOf(4, 4200, 3))
			}
			within(t, c.allowed, c.name+": the version is applied", func() bool { return f.version(follower) == c.version })
			received, size := f.links[follower].inbound.bytes(), len(compress(value))
			if call := size * contentBatch / len(value); c.most > 0 && received > size+c.most*call {
				t.Errorf("%s: received %d bytes for %d", c.name, received, size)
			}
		})
	}
}

// freezeReaders makes calls of one reader hang, or of all if n is more than one.
func (f *virtualFleet) freezeReaders(first string, n int) {
	for i, e := range f.edges {
		if e.controller.isReader() && (n > 1 || n == 1 && e.settings.VM == first) {
			f.frozen[i].Store(true)
		}
	}
}
