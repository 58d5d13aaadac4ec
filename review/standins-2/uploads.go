package main

import (
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["9"] = uploads }

// contact is contact_ms of the settings.
const contact = 3 * time.Second

// ordinaryClients is the number of clients that try to connect; the rule names seven or more.
const ordinaryClients = 10

// uploads: clients send the heads of valid requests and hold back the end of their bodies.
func uploads(h *harness) bool {
	crowd := 1200
	if text := os.Getenv("CROWD"); text != "" {
		crowd, _ = strconv.Atoi(text)
	}
	h.config(1, []map[string]any{route("read", "safe", "app", 800, 2), route("letter", "unsafe", "app", 12000, 1)},
		[]map[string]any{{"name": "app", "health_check_path": "/healthz", "max_connections": 110}})
	for _, zone := range []string{"z1", "z2"} {
		h.newEngine("i-"+zone, "app", zone, 6, 20*time.Millisecond, 0)
	}
	e := h.newEdge("edge-z1-1", "z1")
	h.startAll()
	stop := make(chan struct{})
	var running sync.WaitGroup
	var served, failed atomic.Int64
	// takenAt is when a new connection of an ordinary client was last taken: its request was answered.
	var takenAt, notReady atomic.Int64
	takenAt.Store(time.Now().UnixNano())
	for range ordinaryClients {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				o := h.once(e, "GET", "/read/x", "key-of-t1", "", 1500*time.Millisecond)
				if o.status != 0 {
					takenAt.Store(time.Now().UnixNano())
				}
				if o.whole {
					served.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	running.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			if !e.isReady() {
				notReady.Add(1)
				h.note("platform: %s is not ready", e.name)
			}
		}
	})
	time.Sleep(3 * time.Second)
	h.note("before: %d requests served and %d not", served.Load(), failed.Load())
	if h.trouble {
		h.note("%d clients of tenant t2 connect; each sends a head and a part of a body of 600 bytes, and no more", crowd)
		for range crowd {
			running.Go(func() { uploadClient(e.frontend, stop) })
		}
	}
	var longest time.Duration
	before := served.Load()
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		longest = max(longest, time.Since(time.Unix(0, takenAt.Load())))
	}
	h.note("in 15 s: %d requests of ordinary clients served; longest time without a new connection taken %s; not ready %d times; running: %t",
		served.Load()-before, longest.Round(time.Millisecond), notReady.Load(), e.running())
	close(stop)
	running.Wait()
	return longest > contact && notReady.Load() == 0
}

// uploadClient sends a part of a request and waits for the answer. When its connection is closed, it
// tries again as the pages' clients do, on a new one.
func uploadClient(address string, stop chan struct{}) {
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
		_, _ = c.Write([]byte("POST /letter/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + newID() +
			"\r\nX-Deadline-Ms: 12000\r\nAuthorization: Bearer key-of-t2\r\nContent-Length: 600\r\n\r\nbeginning"))
		done := make(chan struct{})
		go func() {
			_, _ = c.Read(make([]byte, 1024))
			close(done)
		}()
		select {
		case <-stop:
		case <-done:
		}
		c.Close()
		<-done
		time.Sleep(200 * time.Millisecond)
	}
}
