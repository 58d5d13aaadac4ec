package transfer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
)

// Guards against a body that is given up half-way without a trace, and against reports of bodies
// that were read to their end.
func TestReportsWhatIsGivenUp(t *testing.T) {
	const length = 100_000
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/chunked" {
			w.Header().Set("Content-Length", strconv.Itoa(length))
		}
		_, _ = w.Write(make([]byte, length))
	}))
	defer server.Close()
	for _, c := range []struct {
		path              string
		read              int64
		length            int64
		givenUp, reported int
	}{
		{"/whole", length, 0, 0, 0},
		{"/chunked", length + 1, 0, 0, 0},
		{"/part", 1000, length, 1, 1},
		{"/none", 0, 0, 0, 0},
	} {
		stats, reports := &Stats{}, []Report(nil)
		client := &http.Client{Transport: NewTransport(http.DefaultTransport, Limits{time.Second, time.Second, time.Second}, stats, func(r Report) { reports = append(reports, r) })}
		response, err := client.Get(server.URL + c.path)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.CopyN(io.Discard, response.Body, c.read)
		response.Body.Close()
		response.Body.Close()
		if int(stats.GivenUp.Load()) != c.givenUp || len(reports) != c.reported {
			t.Errorf("%s: %d given up, %d reported", c.path, stats.GivenUp.Load(), len(reports))
		}
		if len(reports) > 0 && (reports[0].Path != c.path || reports[0].Bytes < c.read || reports[0].Length != c.length || reports[0].Beside != 0) {
			t.Errorf("%s: %+v", c.path, reports[0])
		}
	}
}
