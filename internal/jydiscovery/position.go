package jydiscovery

// Revision numbers the changes of a store within an era; it rises with each change.
type Revision uint64

// Era numbers the histories of a store: it rises each time the store comes back from a copy, and is 0 if the store states none.
// Such a store has lost its latest changes, and gives out their revisions again.
type Era uint64

// Position is a point in the history of a store. Revisions of different eras cannot be compared.
type Position struct {
	Era      Era
	Revision Revision
}
