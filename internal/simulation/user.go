package simulation

import (
	"context"
	"net/http"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// How long users wait for responses, by the protocol.
const (
	questionPatience = 2 * time.Second
	requestPatience  = 5 * time.Second
)

// Users sends users' requests; the ledger hears every answer.
type Users struct {
	Client *transport.Client
	Ledger *Ledger
	Now    func() time.Duration
	// OnAnswer, if set, is told how long every answer took.
	OnAnswer func(kind string, took time.Duration, status int)
	// Fault is told of answers that are out of form.
	Fault func(error)
}

// Request sends a request about a job to a controller's address, with the job itself if it
// is a submission. A status of 0 means that no answer came.
func (u *Users) Request(ctx context.Context, addr, kind, id string, job *protocol.Job) (int, protocol.JobStatus) {
	method, path, patience := http.MethodGet, "/submissions/"+id, questionPatience
	var body any
	switch kind {
	case Submits:
		method, path, patience, body = http.MethodPost, "/submissions", requestPatience, job
	case Cancels:
		method, path, patience = http.MethodPost, path+"/withdraw", requestPatience
	}
	u.Ledger.Sent(kind, id)
	sent := u.Now()
	status, raw, err := u.Client.Do(ctx, patience, method, "http://"+addr+path, body)
	if err != nil {
		return 0, protocol.JobStatus{}
	}
	now := u.Now()
	if u.OnAnswer != nil {
		u.OnAnswer(kind, now-sent, status)
	}
	var st protocol.JobStatus
	if status < http.StatusMultipleChoices {
		if err := protocol.Decode(raw, &st); err != nil {
			u.Fault(err)
		}
	}
	u.Ledger.Answered(kind, id, sent, now, status, st)
	return status, st
}
