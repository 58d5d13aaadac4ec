package edge

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a restore that some routers find only at the end of their long poll, because
// the restored store has nothing to report to them, although another router knows the era.
func TestEraSpreadsByTheExchange(t *testing.T) {
	for _, readers := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			f := startVirtualFleet(t, 5, readers)
			before := f.store.copy()
			time.Sleep(3 * time.Second)
			f.store.put("config", testConfig{11})
			time.Sleep(100 * time.Millisecond)
			f.restoreUnnoticed(before)
			f.store.put("config", testConfig{13})
			time.Sleep(300 * time.Millisecond)
			// One router loses its call. The others wait on the restored store, and no
			// registration wakes them.
			for _, link := range f.links {
				link.unavailable.Store(true)
			}
			noticing := 0
			for i, e := range f.edges {
				if e.controller.isReader() {
					noticing = i
				}
			}
			f.links[noticing].set(linkRefuses)
			time.Sleep(10 * time.Millisecond)
			f.links[noticing].set(linkWorks)
			f.links[noticing].unavailable.Store(true)
			began := time.Now()
			for i := range f.edges {
				within(t, 1300*time.Millisecond-time.Since(began), "version 13 is in force", func() bool { return f.version(i) == 13 })
			}
		})
	}
}
