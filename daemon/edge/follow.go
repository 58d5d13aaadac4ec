package edge

import (
	"context"
	"time"

	"cactusknot.example/daemon/relay"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

const (
	// followWait is how long a reader may wait for changes before it answers. A reader
	// that is frozen or cut off is noticed after followWait and followMargin, or after
	// followMargin while its answer arrives.
	followWait   = 500 * time.Millisecond
	followMargin = 250 * time.Millisecond
	// maxReaderAge is the age of a reader's copy from which the reader is left. It exceeds
	// the time between two answers of the store to a reader that reaches it.
	maxReaderAge = readerWatchWait + watchPause + 400*time.Millisecond
)

// follow polls a reader once and merges its changes. A reader that does not answer, or
// whose copy is too old, is left for some time; the next call uses another source.
func (s *storeSync) follow(ctx context.Context, reader relay.Member) {
	s.setReader(reader.Name)
	wait := followWait
	if s.answered != reader.Name {
		// A reader that has not answered yet is given little time: the reader before it
		// has used up some.
		wait = 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	newerEra := s.newerEra
	go func() {
		select {
		case <-newerEra:
			cancel()
		case <-ctx.Done():
		}
	}()
	poll := transfer.New(ctx, transfer.Limits{Answer: wait + followMargin, Silence: followMargin, Total: maxPeerTransfer})
	defer poll.Stop()
	after := s.edge.mirror.Position()
	reply, err := s.edge.peerClient(reader.Address).Changes(poll.Context(), &rpc.ChangesRequest{
		AfterRevision: uint64(after.Revision), AfterEra: after.Era,
		WaitMs: uint32(wait.Milliseconds()), MaxAgeMs: uint32(maxReaderAge.Milliseconds()), ByReference: true,
	})
	if err != nil && ctx.Err() != nil {
		return
	}
	if err != nil {
		s.leaveReader(time.Now(), reader, "no answer", err, 0)
		return
	}
	// The answer was true when its head was sent; a long one takes time to arrive.
	now := poll.HeadAt()
	age := time.Duration(reply.GetAgeMs()) * time.Millisecond
	if age >= maxReaderAge && !reply.GetReceiving() {
		s.leaveReader(now, reader, "copy too old", nil, age)
		return
	}
	if reply.GetAtEra() < after.Era {
		s.leaveReader(now, reader, "copy of an older era", nil, age)
		return
	}
	s.selector.Succeeded(reader.Name)
	s.answered = reader.Name
	holdSince := holdSince(now, reply)
	s.edge.controller.contact.peerResponse(now.Add(-age), holdSince)
	s.edge.controller.recordStoreResponse(now)
	if reply.GetAtEra() == after.Era {
		s.edge.controller.contact.inEra(now.Add(-age - contactMargin))
	}
	s.edge.controller.contact.followReader(now.Add(-age), holdSince)
	s.edge.mergeReply(reader.Address, reply)
}

// holdSince returns from when a peer's hold on vanished entries counts; zero for none.
func holdSince(now time.Time, reply *rpc.ChangesReply) time.Time {
	if ago := reply.GetOutageEndedAgoMs(); ago > 0 {
		return now.Add(-time.Duration(ago) * time.Millisecond)
	}
	return time.Time{}
}

// leaveReader stops using a reader for some time.
func (s *storeSync) leaveReader(now time.Time, reader relay.Member, reason string, err error, age time.Duration) {
	s.selector.Failed(now, reader.Name)
	s.answered = ""
	s.edge.storeMetrics.GetOrCreateCounter("cactusknot_store_readers_left_total").Inc()
	s.edge.log.Warn().Err(err).Str("reader", reader.Name).Str("reason", reason).Dur("copy_age_ms", age).
		Stringer("position", s.edge.mirror.Position()).Msg("reader of the store left")
}

// setReader records the source of changes and logs when it is another one than before.
func (s *storeSync) setReader(name string) {
	if s.reader == name {
		return
	}
	s.reader = name
	s.edge.controller.currentReader.Store(&name)
	s.edge.log.Info().Str("reader", name).Bool("store", name == "").Stringer("position", s.edge.mirror.Position()).
		Msg("source of store changes chosen")
}
