package simulation

import (
	"context"
	"net/http"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/transport"
)

// Timeouts of user requests.
const (
	queryTimeout  = 2 * time.Second
	submitTimeout = 5 * time.Second
)

// UserClient sends user requests to controllers and passes every answer to an AnswerChecker.
type UserClient struct {
	Client  *transport.Client
	Checker *AnswerChecker
	Now     func() time.Duration
	// OnAnswer, if set, is called for each answer with its round-trip time.
	OnAnswer func(kind string, took time.Duration, status int)
	// OnError is called for malformed answers.
	OnError func(error)
}

// Request sends a request about a job to a controller at addr and returns the HTTP status and the job status of the
// answer. job is only needed for a submission. The HTTP status is 0 if there was no answer.
func (u *UserClient) Request(ctx context.Context, addr, kind, id string, job *protocol.Job) (int, protocol.JobStatus) {
	method, path, timeout := http.MethodGet, "/submissions/"+id, queryTimeout
	var body any
	switch kind {
	case RequestSubmit:
		method, path, timeout, body = http.MethodPost, "/submissions", submitTimeout, job
	case RequestCancel:
		method, path, timeout = http.MethodPost, path+"/withdraw", submitTimeout
	}
	u.Checker.RecordRequest(kind, id)
	sent := u.Now()
	status, raw, err := u.Client.Do(ctx, timeout, method, "http://"+addr+path, body)
	if err != nil {
		return 0, protocol.JobStatus{}
	}
	now := u.Now()
	if u.OnAnswer != nil {
		u.OnAnswer(kind, now-sent, status)
	}
	var answer protocol.JobStatus
	if status < http.StatusMultipleChoices {
		if err := protocol.Decode(raw, &answer); err != nil {
			u.OnError(err)
		}
	}
	u.Checker.RecordAnswer(kind, id, sent, now, status, answer)
	return status, answer
}
