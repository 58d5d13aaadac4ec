package main

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["6"] = models }

// models: some clients name another model in each request.
func models(h *harness) bool {
	crowd := 16
	if text := os.Getenv("CROWD"); text != "" {
		crowd, _ = strconv.Atoi(text)
	}
	h.config(1, []map[string]any{route("read", "safe", "app", 800, 2)}, []map[string]any{{"name": "app", "health_check_path": "/healthz", "max_connections": 110}})
	for _, zone := range []string{"z1", "z2"} {
		h.newEngine("i-"+zone, "app", zone, 64, 5*time.Millisecond, 0)
		h.newEdge("edge-"+zone+"-1", zone)
	}
	h.startAll()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var served, failed, sent atomic.Int64
	for _, e := range h.edges {
		for range 4 {
			running.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
					if h.once(e, "GET", "/read/x", "key-of-t1", "", 1500*time.Millisecond).whole {
						served.Add(1)
					} else {
						failed.Add(1)
					}
				}
			})
		}
	}
	watch := h.enforceMemory(func() {
		h.note("%d requests with a model of their own answered, %d requests of ordinary clients served and %d not", sent.Load(), served.Load(), failed.Load())
	})
	watch(3 * time.Second)
	if h.trouble {
		h.note("%d clients of tenant t2 at each machine name a model of 15,000 bytes of their own in each request, one request after the other", crowd)
		for _, e := range h.edges {
			for range crowd {
				running.Go(func() { modelClient(e.frontend, stop, &sent) })
			}
		}
	}
	broken := watch(90 * time.Second)
	close(stop)
	running.Wait()
	h.note("%d requests with a model of their own answered, %d requests of ordinary clients served and %d not", sent.Load(), served.Load(), failed.Load())
	return broken
}

// modelClient sends requests on a kept connection, each with another model.
func modelClient(address string, stop chan struct{}, sent *atomic.Int64) {
	for {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			reader := bufio.NewReader(c)
			for err == nil {
				select {
				case <-stop:
					c.Close()
					return
				default:
				}
				id := newID()
				_ = c.SetDeadline(time.Now().Add(2 * time.Second))
				_, err = c.Write([]byte("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-t2\r\nX-Model: " +
					id + strings.Repeat("m", 15000-len(id)) + "\r\n\r\n"))
				if err != nil {
					break
				}
				var response *http.Response
				if response, err = http.ReadResponse(reader, nil); err == nil {
					_, err = discard(response)
					sent.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
			c.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
