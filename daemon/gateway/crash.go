package gateway

import (
	"context"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"chivespindle.example/core/failure"
	"chivespindle.example/core/placement"
	"chivespindle.example/core/quarantine"
)

// brokenAttempt describes an attempt whose connection broke after the call was
// sent.
type brokenAttempt struct {
	fingerprint quarantine.Fingerprint
	// serverDown is true if the server's process ended with the connection.
	serverDown bool
}

// brokenAt returns what is known of an attempt that failed; nil unless its
// connection broke under it.
func (j *job) brokenAt(ctx context.Context, server placement.Server, err error) *brokenAttempt {
	if failure.OutcomeOf(err) == failure.NotRun || errorx.IsOfType(err, failure.Corrupt) {
		return nil
	}
	return &brokenAttempt{
		fingerprint: j.contentFingerprint(),
		serverDown:  j.g.opts.Backend.IsDown(ctx, server.Addr),
	}
}

// contentFingerprint identifies the call over its client's retries, which have
// other request ids.
func (j *job) contentFingerprint() quarantine.Fingerprint {
	if j.fingerprint == nil {
		content := quarantine.Content{
			Workspace: j.workspace, Method: j.call.Method, Host: j.call.Host, Target: j.call.Target, Body: j.call.Body,
		}
		f := content.Fingerprint()
		j.fingerprint = &f
	}
	return *j.fingerprint
}

func (b *brokenAttempt) fields() []zap.Field {
	if b == nil {
		return nil
	}
	return []zap.Field{zap.Stringer("fingerprint", b.fingerprint), zap.Bool("server_down", b.serverDown)}
}
