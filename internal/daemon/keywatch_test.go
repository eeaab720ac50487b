package daemon

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"pinebay/internal/protocol"
	"pinebay/internal/random"
	"pinebay/internal/transport"
)

// watchedStore is a key-value store that answers watches with a sequence of prepared responses.
type watchedStore struct {
	answers []func(w http.ResponseWriter)
	from    []string // revisions after which watches asked for changes
	done    func()   // called when no response is left
}

func (s *watchedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if len(s.answers) == 0 {
		s.done()
		<-r.Context().Done()
		return
	}
	s.from = append(s.from, r.URL.Query().Get("from"))
	s.answers[0](w)
	s.answers = s.answers[1:]
}

// TestKeyWatch checks that a watch continues from the last known revision, also after a failed request, and reads the
// key again only when it has missed changes.
func TestKeyWatch(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	change := func(revision uint64) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) {
			transport.WriteResponse(w, http.StatusOK, protocol.WatchResponse{
				Revision: revision,
				Events:   []protocol.WatchEvent{{PutKey: "k", Revision: revision}},
			})
		}
	}
	refuse := func(status int) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { transport.WriteResponse(w, status, protocol.ErrorResponse{}) }
	}
	store := &watchedStore{
		answers: []func(http.ResponseWriter){
			change(6), refuse(http.StatusServiceUnavailable), change(8), refuse(http.StatusGone), change(12),
		},
		done: cancel,
	}
	srv := httptest.NewServer(store)
	defer srv.Close()
	settings := testSettings()
	settings.Endpoints.Store = strings.TrimPrefix(srv.URL, "http://")
	settings.Deployment.Workers.LeaseSeconds = 1 // keeps the pauses short, which derive from the lease
	env := newEnvironment(transport.TCP{}, random.New(1), settings, Features{}, slog.New(slog.DiscardHandler))
	var known, changes []uint64
	reads := []uint64{5, 10}
	watch := keyWatch{
		environment: env,
		key:         "k",
		purpose:     "test",
		read: func(_ context.Context, revision uint64) (uint64, error) {
			known = append(known, revision)
			if len(known) == 1 {
				return 0, errors.New("read failed")
			}
			read := reads[0]
			reads = reads[1:]
			return read, nil
		},
		onChange: func(e protocol.WatchEvent) { changes = append(changes, e.Revision) },
	}
	watch.run(ctx)
	if want := []uint64{0, 0, 8}; !slices.Equal(known, want) {
		t.Errorf("read called with known revisions %v, want %v", known, want)
	}
	if want := []string{"5", "6", "6", "8", "10"}; !slices.Equal(store.from, want) {
		t.Errorf("watched from revisions %v, want %v", store.from, want)
	}
	if want := []uint64{6, 8, 12}; !slices.Equal(changes, want) {
		t.Errorf("changes at revisions %v, want %v", changes, want)
	}
}
