package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is a request as its client has seen it.
type sent struct {
	id, edge, route string
	at, ended       time.Time
	status          int
	sealed          bool
	body            string
	err             error
}

// clients sends requests to the edges at a rate and keeps what comes back.
type clients struct {
	mu   sync.Mutex
	list []sent
	next atomic.Int64
}

// newClient returns a client with connections of its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// call is a request that a client sends.
type call struct {
	route, method string
	deadline      time.Duration
	header        map[string]string
	body          string
	// path follows the route's prefix; empty for an ordinary one.
	path string
}

// load sends requests to an edge at intervals until stop is closed. Each request waits for its answer on
// its own.
func (c *clients) load(e *edge, route, method string, interval, deadline time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	client := newClient()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		group.Go(func() { c.send(client, e, route, method, deadline) })
	}
}

func (c *clients) send(client *http.Client, e *edge, route, method string, deadline time.Duration) {
	body := ""
	if method == http.MethodPost {
		body = strings.Repeat("x", 600)
	}
	c.call(client, e, call{route: route, method: method, deadline: deadline, body: body})
}

// call sends a request, waits for its whole answer and keeps the outcome. It returns it too.
func (c *clients) call(client *http.Client, e *edge, in call) sent {
	id := fmt.Sprintf("%016x", c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), in.deadline)
	defer cancel()
	var body io.Reader
	if in.body != "" {
		body = strings.NewReader(in.body)
	}
	path := in.path
	if path == "" {
		path = "1"
	}
	request, err := http.NewRequestWithContext(ctx, in.method, "http://"+e.frontend+"/"+in.route+"/"+path, body)
	check(err)
	request.Host = "app.example"
	request.GetBody = nil
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(in.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer key1")
	for name, value := range in.header {
		request.Header.Set(name, value)
	}
	one := sent{id: id, edge: e.name, route: in.route, at: time.Now()}
	response, err := client.Do(request)
	if err == nil {
		raw, readErr := io.ReadAll(response.Body)
		response.Body.Close()
		one.status, one.sealed, one.body, err = response.StatusCode, response.Header.Get("X-Server-Seal") != "", string(raw), readErr
	}
	one.err, one.ended = err, time.Now()
	c.mu.Lock()
	c.list = append(c.list, one)
	c.mu.Unlock()
	return one
}
