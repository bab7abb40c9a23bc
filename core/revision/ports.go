package revision

import "context"

// Revision numbers the states of the operator's configuration. The platform
// raises it with every write. 0 means unknown.
type Revision uint64

// Document is one revision of the operator's configuration as the platform
// holds it.
type Document struct {
	Revision Revision
	Text     []byte
}

// Source is the platform's configuration service. It can be read and watched
// but not written. Its rate limit counts the calls of all readers, a pending
// watch as one call. It may be down or stale: it may answer with a revision
// older than one it has returned before.
type Source interface {
	// Read returns the current document.
	Read(ctx context.Context) (Document, error)
	// Watch waits until the service holds a revision other than after and
	// returns it. If the service's own wait time expires first, it returns the
	// unchanged document.
	Watch(ctx context.Context, after Revision) (Document, error)
}
