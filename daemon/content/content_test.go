package content

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// text returns n bytes that repeat as little as random text does.
func text(seed uint64, n int) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	var b bytes.Buffer
	for b.Len() < n {
		fmt.Fprintf(&b, "%x,", random.Uint32())
	}
	return b.Bytes()[:n]
}

// fetch assembles a value from a library in calls of some bytes and returns it with the number of
// bytes that were read.
func fetch(a *Assembly, from, own *Library, batch int) (value []byte, read int, err error) {
	if err := a.SetParts(from.Parts(a.Ref()), own.Part); err != nil {
		return nil, 0, err
	}
	for missing := a.Missing(batch); len(missing) > 0; missing = a.Missing(batch) {
		var ids []uint64
		for _, p := range missing {
			ids = append(ids, p.ID)
		}
		data, ok := from.Read(a.Ref(), ids, batch+maxPart)
		if !ok {
			return nil, read, errors.New("not held")
		}
		read += len(data)
		if err := a.Add(missing, data); err != nil {
			return nil, read, err
		}
	}
	value, err = a.Value()
	return value, read, err
}

// Guards against a change that costs more than the parts around it, wherever it is, and against a
// value that is put together wrongly, whatever was held or received before.
func TestAssemblyFetchesWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := text(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(MinBytes, 400_000).Draw(t, "size"))
		edits := rapid.IntRange(0, 4).Draw(t, "edits")
		value := old
		for range edits {
			at := rapid.IntRange(0, len(value)-1).Draw(t, "at")
			cut := rapid.IntRange(0, min(500, len(value)-at)).Draw(t, "cut")
			insert := text(rapid.Uint64().Draw(t, "inserted seed"), rapid.IntRange(0, 500).Draw(t, "inserted"))
			value = bytes.Join([][]byte{value[:at], insert, value[at+cut:]}, nil)
		}
		if len(value) < MinBytes {
			t.Skip("not large")
		}
		var from, own Library
		own.Add(RefOf(old), old)
		from.Add(RefOf(value), value)
		got, read, err := fetch(NewAssembly(RefOf(value), nil), &from, &own, rapid.IntRange(1, 100_000).Draw(t, "batch"))
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("got %d of %d bytes, %v", len(got), len(value), err)
		}
		// An edit changes the part that it is in, and may move the end of the next one.
		if most := edits * 3 * maxPart; read > most {
			t.Errorf("%d edits cost %d bytes", edits, read)
		}
	})
}

// Guards against parts that are fetched again because a newer value is wanted meanwhile.
func TestAssemblyKeepsPartsOfAnEarlierOne(t *testing.T) {
	first := text(1, 300_000)
	second := append(bytes.Clone(first), text(2, 10_000)...)
	var from, own Library
	from.Add(RefOf(first), first)
	from.Add(RefOf(second), second)
	a := NewAssembly(RefOf(first), nil)
	if _, _, err := fetch(a, &from, &own, 50_000); err != nil {
		t.Fatal(err)
	}
	value, read, err := fetch(NewAssembly(RefOf(second), a), &from, &own, 50_000)
	if err != nil || !bytes.Equal(value, second) || read > 10_000+2*maxPart {
		t.Errorf("%d bytes read, %v", read, err)
	}
}

// Guards against a source that hands out something else than the value, and against a part of an
// earlier value that has the same hash as another one.
func TestAssemblyRefusesWrongParts(t *testing.T) {
	value, other := text(1, 100_000), text(2, 100_000)
	var from, own Library
	from.Add(RefOf(value), value)
	parts, lookup := from.Parts(RefOf(value)), func(uint64) []byte { return nil }
	for name, list := range map[string][]Part{
		"none": nil, "too few": parts[1:], "too long": {{1, maxPart + 1}}, "empty": append([]Part{{1, 0}}, parts...), "negative": {{1, -1}},
		"too many": slices.Repeat([]Part{{1, 1}}, len(value)),
	} {
		if err := NewAssembly(RefOf(value), nil).SetParts(list, lookup); !errors.Is(err, ErrBadParts) {
			t.Errorf("%s: %v", name, err)
		}
	}
	a := NewAssembly(RefOf(value), nil)
	if err := a.SetParts(parts, lookup); err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"short": value[:parts[0].Size-1], "wrong": other} {
		if err := a.Add(parts[:1], data); !errors.Is(err, ErrMismatch) {
			t.Errorf("%s: %v", name, err)
		}
	}
	collision := func(id uint64) []byte {
		if id == parts[2].ID {
			return other[:parts[2].Size]
		}
		return nil
	}
	if err := a.SetParts(parts, collision); err != nil {
		t.Fatal(err)
	}
	for _, missing := range a.Missing(len(value)) {
		data, _ := from.Read(RefOf(value), []uint64{missing.ID}, maxPart)
		if err := a.Add([]Part{missing}, data); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := a.Value(); !errors.Is(err, ErrMismatch) || a.Remaining() != len(value) {
		t.Errorf("%v, %d bytes remaining", err, a.Remaining())
	}
	if err := a.SetParts(parts, collision); err != nil || a.Remaining() != len(value) {
		t.Errorf("after a mismatch, %d bytes remain, %v", a.Remaining(), err)
	}
	if got, _, err := fetch(a, &from, &own, 50_000); err != nil || !bytes.Equal(got, value) {
		t.Errorf("after a mismatch: %v", err)
	}
}

// Guards against a library that grows without bound, or that drops the only value it has.
func TestLibraryIsBounded(t *testing.T) {
	var l Library
	var refs []Ref
	for seed, size := range []int{1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 2 * maxLibraryBytes} {
		value := text(uint64(seed), size)
		refs = append(refs, RefOf(value))
		l.Add(RefOf(value), value)
		l.Add(RefOf(value), value)
		held := 0
		for _, ref := range refs {
			held += len(l.Value(ref))
		}
		if l.Value(refs[seed]) == nil || len(l.volumes) > 1 && held > maxLibraryBytes {
			t.Errorf("after value %d: %d bytes in %d volumes", seed, held, len(l.volumes))
		}
	}
	if _, ok := l.Read(refs[5], []uint64{l.Parts(refs[5])[0].ID}, 1); ok {
		t.Error("a reply over its bound")
	}
}
