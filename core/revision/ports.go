package revision

import "context"

// Revision numbers the states of the operator's text. The platform raises it
// with every write. 0 means that nothing is known.
type Revision uint64

// Document is one state of the operator's text as the platform holds it.
type Document struct {
	Revision Revision
	Text     []byte
}

// Source is the platform's configuration service. It can be read and watched
// but never written. It counts each call, a waiting watch as one, over all
// readers, and may be down or stale: it may answer with a revision older than
// one it gave before.
type Source interface {
	// Read returns the current document.
	Read(ctx context.Context) (Document, error)
	// Watch waits until the service holds a revision other than after and
	// returns it. When the service's own waiting time ends first, it returns
	// the unchanged document.
	Watch(ctx context.Context, after Revision) (Document, error)
}
