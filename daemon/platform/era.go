package platform

import (
	"cactusknot.example/coord/kv"
)

// eraShift is the number of bits of a revision or lease ID within an era. The store's era is
// above them, so that revisions of a later era are higher than all of an earlier one, and lease
// IDs are never given out again. Era 0, before the first restore, leaves numbers as they are.
const eraShift = 40

// inEra returns a number that the store gave out in an era; 0 stays 0.
func inEra[N ~uint64](era uint64, n N) N {
	if n == 0 {
		return 0
	}
	return N(era<<eraShift) | n
}

// splitEra returns the era of a number and the number within it.
func splitEra[N ~uint64](n N) (era uint64, within N) {
	return uint64(n >> eraShift), n & (1<<eraShift - 1)
}

// eraRequest returns a request with the revision and the lease as the store knows them, and
// their era: the later one if they differ, in which the other does not exist any more.
func eraRequest(req StoreRequest) StoreRequest {
	revisionEra, revision := splitEra(req.Revision)
	leaseEra, lease := splitEra(req.Lease)
	req.Revision, req.Lease, req.Era = revision, lease, max(revisionEra, leaseEra)
	return req
}

// eraResponse adds the era to the numbers of a response.
func eraResponse(a StoreResponse) StoreResponse {
	a.Revision, a.Lease = inEra(a.Era, a.Revision), inEra(a.Era, a.Lease)
	if a.Entry != nil {
		*a.Entry = eraEntry(a.Era, *a.Entry)
	}
	for i := range a.Entries {
		a.Entries[i] = eraEntry(a.Era, a.Entries[i])
	}
	return a
}

func eraEntry(era uint64, e kv.Entry) kv.Entry {
	e.Revision, e.Lease = inEra(era, e.Revision), inEra(era, e.Lease)
	return e
}
