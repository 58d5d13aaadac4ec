package content

import "sync"

// maxLibraryBytes bounds the values of a Library in bytes, but for the latest one. Some versions
// of the longest value fit, so that a peer that fetches one while the next comes can go on.
const maxLibraryBytes = 4 << 20

// Library holds the latest large values of a process: for peers that ask for their parts, and as a
// source of the parts of newer values. It is safe for concurrent use; the zero value is empty.
type Library struct {
	mu sync.Mutex
	// volumes are the values, the latest last.
	volumes []*volume
}

// volume is a value with its parts.
type volume struct {
	ref   Ref
	value []byte
	parts []Part
	data  map[uint64][]byte
}

// Add adds a value with its Ref and drops the oldest ones beyond the bound. The caller must not
// modify the value.
func (l *Library) Add(ref Ref, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.find(ref) != nil {
		return
	}
	v := &volume{ref: ref, value: value, data: make(map[uint64][]byte)}
	for _, data := range split(value) {
		part := partOf(data)
		v.parts = append(v.parts, part)
		v.data[part.ID] = data
	}
	l.volumes = append(l.volumes, v)
	l.dropOldest()
}

func (l *Library) dropOldest() {
	size := 0
	for _, v := range l.volumes {
		size += len(v.value)
	}
	for len(l.volumes) > 1 && size > maxLibraryBytes {
		size -= len(l.volumes[0].value)
		l.volumes = l.volumes[1:]
	}
}

// find returns the volume of a Ref, or nil; the caller holds the lock.
func (l *Library) find(ref Ref) *volume {
	for _, v := range l.volumes {
		if v.ref == ref {
			return v
		}
	}
	return nil
}

// Value returns a value, or nil if it is not held.
func (l *Library) Value(ref Ref) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.find(ref); v != nil {
		return v.value
	}
	return nil
}

// Parts returns the parts of a value, or none if it is not held.
func (l *Library) Parts(ref Ref) []Part {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v := l.find(ref); v != nil {
		return v.parts
	}
	return nil
}

// Read returns some parts of a value, one after the other, up to a sum of bytes. ok is false if
// the value is not held, lacks one of the parts, or they are longer.
func (l *Library) Read(ref Ref, ids []uint64, most int) (data []byte, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.find(ref)
	if v == nil {
		return nil, false
	}
	for _, id := range ids {
		part := v.data[id]
		if part == nil || len(data)+len(part) > most {
			return nil, false
		}
		data = append(data, part...)
	}
	return data, true
}

// Part returns a part of any value that is held, or nil.
func (l *Library) Part(id uint64) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.volumes) - 1; i >= 0; i-- {
		if data := l.volumes[i].data[id]; data != nil {
			return data
		}
	}
	return nil
}
