package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

func listen(host string) (net.Listener, error) { return net.Listen("tcp", host+":0") }

var lastID atomic.Uint64

// newID returns an ID that no other request has.
func newID() string { return sprintf("%016x", uint64(time.Now().UnixNano())<<12|lastID.Add(1)&0xfff) }

// outcome is the end of one client attempt.
type outcome struct {
	id     string
	status int
	err    error
	whole  bool
	took   time.Duration
}

// once sends a request on a new connection, as the pages' clients do: a new connection may take one
// second.
func (h *harness) once(e *edge, method, path, key, body string, deadline time.Duration) outcome {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return h.send(&http.Client{Transport: transport}, e, method, path, key, body, deadline)
}

// send sends a request and records what was sent and answered.
func (h *harness) send(client *http.Client, e *edge, method, path, key, body string, deadline time.Duration) outcome {
	id := newID()
	h.note("client sends %s to %s: %s %s", id, e.name, method, path)
	o := request(client, id, e.frontend, method, path, key, body, deadline)
	if o.whole {
		h.note("client gets the whole answer to %s: 200", id)
	} else {
		h.note("client is not served, %s: status %d, %v", id, o.status, o.err)
	}
	return o
}

func request(client *http.Client, id, address, method, path, key, body string, deadline time.Duration) outcome {
	o := outcome{id: id}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", o.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(r)
	o.took = time.Since(began)
	if err != nil {
		o.err = err
		return o
	}
	defer response.Body.Close()
	o.status = response.StatusCode
	raw, err := io.ReadAll(response.Body)
	o.took, o.err = time.Since(began), err
	o.whole = err == nil && response.StatusCode == http.StatusOK && string(raw) == answerOf(o.id) && response.Header.Get("X-Server-Seal") == "seal."+o.id
	return o
}
