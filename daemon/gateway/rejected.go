package gateway

import (
	"context"
	"time"

	"chivespindle.example/core/placement"
)

// rejectsCall reports whether a server states that it did not run the call, with a status that
// blames the call, such as 400 for one without an ID. Any other server would reject it too.
func rejectsCall(response Response) bool {
	return response.NotRun() && !response.ImpliesNotRun() && response.Status()/100 == 4
}

// forwardRejection forwards the response of a server that rejects the call for what it is,
// which says nothing about the server.
func (j *job) forwardRejection(ctx context.Context, assignment *placement.Assignment, response Response) bool {
	response.SetDeadline(j.deadline)
	body, err := response.Body(maxBufferedBody, &j.responseHold)
	response.Close(err == nil)
	now := time.Now()
	assignment.End(now, placement.Declined)
	if err != nil {
		j.responseHold.Release()
		return j.endCall(ctx, now, "declined")
	}
	j.respondedBy = assignment.Server.ID
	j.forward(response, body)
	return false
}

// resultOfRejectedRequest returns the result of an attempt whose connection broke since the
// request has a large head or a body that the server did not read. That a server closes it says
// nothing about the server, unless its process has ended.
func resultOfRejectedRequest(b *brokenAttempt) placement.Result {
	if b != nil && b.server == Alive {
		return placement.Abandoned
	}
	return placement.Broken
}
