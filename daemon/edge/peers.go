package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/mirror"
)

const (
	// pullInterval is the pause between questions to peers while the store is away.
	pullInterval = 700 * time.Millisecond
	// pullTimeout bounds one question.
	pullTimeout = 800 * time.Millisecond
	// maxPull bounds a peer's answer in bytes.
	maxPull = 16 << 20
)

// peerCopy is a peer's answer: its changes after a revision.
type peerCopy struct {
	Changes  []mirror.Change `json:"changes"`
	At       kv.Revision     `json:"at"`
	Complete bool            `json:"complete"`
}

// peerHandler serves the mirror to peers.
func (e *Edge) peerHandler() http.Handler {
	router := echo.New()
	router.GET("/mirror", func(c echo.Context) error {
		after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
		if err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		changes, at, complete := e.mirror.Since(kv.Revision(after))
		return c.JSON(http.StatusOK, peerCopy{Changes: changes, At: at, Complete: complete})
	})
	return router
}

// pullFromPeers asks a random peer for changes while the store does not answer.
func (e *Edge) pullFromPeers(ctx context.Context) {
	client := &http.Client{Timeout: pullTimeout}
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		if e.control.storeAway() < peersAfter {
			continue
		}
		peers := e.control.peers()
		if len(peers) == 0 {
			continue
		}
		peer := peers[rand.IntN(len(peers))]
		news, err := e.pull(ctx, client, peer)
		switch {
		case err != nil:
			e.log.Debug().Err(err).Str("peer", peer).Msg("peer did not answer")
		case news > 0:
			e.log.Info().Str("peer", peer).Int("changes", news).Uint64("revision", uint64(e.mirror.At())).Msg("changes from peer")
		}
	}
}

func (e *Edge) pull(ctx context.Context, client *http.Client, peer string) (news int, err error) {
	url := "http://" + peer + "/mirror?after=" + strconv.FormatUint(uint64(e.mirror.At()), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxPull))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var copied peerCopy
	if err := json.NewDecoder(bytes.NewReader(raw)).Decode(&copied); err != nil {
		return 0, trace.Wrap(err)
	}
	return e.mergeFromPeer(copied.Changes, copied.At, copied.Complete), nil
}
