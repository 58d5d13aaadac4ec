package httplimit

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const maxBytes = 256 << 10

// Guards against a process that runs out of memory because one response, or many together, have
// no end, and against a bound that refuses ordinary responses meanwhile.
func TestResponsesAreBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		block := bytes.Repeat([]byte("x"), 16<<10)
		switch r.URL.Path {
		case "/endless":
			for _, err := w.Write(block); err == nil; _, err = w.Write(block) {
			}
		case "/head":
			w.Header().Set("A", strings.Repeat("x", 2*MaxHeaderBytes))
		case "/long":
			w.Header().Set("Content-Length", "999999999")
		case "/most":
			_, _ = w.Write(bytes.Repeat([]byte("x"), maxBytes))
		}
	}))
	defer server.Close()
	budget := &Budget{Max: 2*maxBytes - uncountedBytes}
	client := &http.Client{Transport: NewTransport(&http.Transport{MaxResponseHeaderBytes: MaxHeaderBytes}, maxBytes, budget)}
	read := func(path string) (n int64, response *http.Response, err error) {
		if response, err = client.Get(server.URL + path); err != nil {
			return 0, nil, err
		}
		n, err = io.Copy(io.Discard, response.Body)
		return n, response, err
	}
	if n, r, err := read("/endless"); !errors.Is(err, ErrTooLong) || n > maxBytes {
		t.Errorf("endless body: %d bytes, %v", n, err)
	} else {
		r.Body.Close()
	}
	for _, path := range []string{"/head", "/long"} {
		if _, _, err := read(path); err == nil {
			t.Errorf("%s: no error", path)
		}
	}
	_, first, err := read("/most")
	if err != nil {
		t.Fatal(err)
	}
	_, second, err := read("/most")
	if err != nil {
		t.Fatal(err)
	}
	if _, r, err := read("/most"); !errors.Is(err, ErrNoRoom) {
		t.Errorf("beyond the budget: %v", err)
	} else {
		r.Body.Close()
	}
	if _, r, err := read("/short"); err != nil {
		t.Errorf("a short response while there is no room: %v", err)
	} else {
		r.Body.Close()
	}
	first.Body.Close()
	second.Body.Close()
	second.Body.Close()
	if used := budget.used.Load(); used != 0 {
		t.Errorf("%d bytes are taken after all bodies were closed", used)
	}
}
