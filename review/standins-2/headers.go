package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = headers }

// smallHeaders returns the head of a request of less than 16,384 bytes, up to its last line, with as
// many headers as fit.
func smallHeaders() string {
	var b strings.Builder
	b.WriteString("GET /read/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + newID() + "\r\nX-Deadline-Ms: 1500\r\n")
	for i := 0; b.Len() < 16384-16; i++ {
		b.WriteString("A" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// headers: clients send heads inside the limits of the configuration, with many small headers.
func headers(h *harness) bool {
	crowd := 600
	if text := os.Getenv("CROWD"); text != "" {
		crowd, _ = strconv.Atoi(text)
	}
	h.config(1, []map[string]any{route("read", "safe", "app", 800, 2)}, []map[string]any{{"name": "app", "health_check_path": "/healthz", "max_connections": 110}})
	for _, zone := range []string{"z1", "z2"} {
		h.newEngine("i-"+zone, "app", zone, 6, 20*time.Millisecond, 0)
		h.newEdge("edge-"+zone+"-1", zone)
	}
	h.startAll()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var served, failed atomic.Int64
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
		h.note("%d requests of ordinary clients served and %d not", served.Load(), failed.Load())
	})
	watch(3 * time.Second)
	if h.trouble {
		h.note("%d clients connect to each machine; each sends a head of %d bytes with %d headers, the last line of it 2.5 s later",
			crowd, len(smallHeaders())+2, strings.Count(smallHeaders(), "\r\n")-1)
		for _, e := range h.edges {
			for range crowd {
				running.Go(func() { headClient(e.frontend, stop) })
			}
		}
	}
	broken := watch(45 * time.Second)
	close(stop)
	running.Wait()
	return broken
}

// headClient sends requests whose head takes 2.5 s.
func headClient(address string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_, err = c.Write([]byte(smallHeaders()))
		ended := time.After(2500 * time.Millisecond)
		if err != nil {
			ended = time.After(200 * time.Millisecond)
		}
		select {
		case <-stop:
		case <-ended:
		}
		if err == nil {
			_, err = c.Write([]byte("\r\n"))
		}
		if err == nil {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = c.Read(make([]byte, 4096))
		}
		c.Close()
	}
}
