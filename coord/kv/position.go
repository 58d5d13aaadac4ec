package kv

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of a store. A store that is restored from an older
// copy begins a new era and gives out revisions again, so that revisions of different eras
// can't be compared. The zero value is before all others.
type Position struct {
	// Era is the number of the store's incarnation; it grows by one with each restore.
	Era      uint64   `json:"era"`
	Revision Revision `json:"revision"`
}

// Compare returns -1, 0 or 1 as p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// After tells whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// String returns the era and the revision, separated by a colon.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Era, p.Revision) }
