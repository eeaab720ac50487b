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
	queryTimeout  = 2 * time.Second
	submitTimeout = 5 * time.Second
)

// UserClient sends users' requests; the ledger hears every answer.
type UserClient struct {
	Client  *transport.Client
	Checker *AnswerChecker
	Now     func() time.Duration
	// OnReply, if set, is told how long every answer took.
	OnAnswer func(kind string, took time.Duration, status int)
	// OnError is told of answers that are out of form.
	OnError func(error)
}

// Request sends a request about a job to a controller's address, with the job itself if it
// is a submission. A status of 0 means that no answer came.
func (u *UserClient) Request(ctx context.Context, addr, kind, id string, job *protocol.Job) (int, protocol.JobStatus) {
	method, path, patience := http.MethodGet, "/submissions/"+id, queryTimeout
	var body any
	switch kind {
	case RequestSubmit:
		method, path, patience, body = http.MethodPost, "/submissions", submitTimeout, job
	case RequestCancel:
		method, path, patience = http.MethodPost, path+"/withdraw", submitTimeout
	}
	u.Checker.RecordRequest(kind, id)
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
			u.OnError(err)
		}
	}
	u.Checker.RecordAnswer(kind, id, sent, now, status, st)
	return status, st
}
