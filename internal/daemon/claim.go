package daemon

import (
	"context"
	"errors"
	"fmt"

	"pinebay/internal/coordination/election"
	"pinebay/internal/coordination/featurelevel"
	"pinebay/internal/protocol"
	"pinebay/internal/storage"
)

// errClaimLost is returned when the term or the leader key has changed since the claim read them.
var errClaimLost = errors.New("term or leader key has changed since it was read")

// leadershipRecords holds the records that a claim is conditional on, with their revisions.
type leadershipRecords struct {
	term         storage.TermRecord
	termRevision uint64 // 0 if there is no record
	keyRevision  uint64 // of the leader key; 0 if no controller holds it
}

// claim makes one attempt to become leader. A failed attempt is logged and reported as not won.
func (a *electionActor) claim(ctx context.Context, e election.Claim) election.ClaimResult {
	result, err := a.tryClaim(ctx, e)
	if err != nil {
		a.log.Debug("leadership claim failed", "error", err)
		return election.ClaimResult{}
	}
	return result
}

// tryClaim reads the term and the leader key, and writes a higher term on the condition that neither has changed. If
// another controller leads in a term above e.AboveTerm, tryClaim does not compete with it, but reports that leader to
// the election.
func (a *electionActor) tryClaim(ctx context.Context, e election.Claim) (election.ClaimResult, error) {
	sent := a.now()
	var current leadershipRecords
	if err := a.readTerm(ctx, &current); err != nil {
		return election.ClaimResult{}, err
	}
	if a.finalLevelUnsupported(current.term) {
		return election.ClaimResult{}, nil
	}
	key, err := a.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey)
	if err != nil {
		return election.ClaimResult{}, err
	}
	current.keyRevision = key.Revision
	if current.term.Term > e.AboveTerm && key.Revision != 0 && current.term.Controller != a.cfg.Name {
		// Another controller was elected in the meantime.
		a.mailbox.Send(election.LeaderKey{Present: true, Holder: current.term.Controller, Term: current.term.Term})
		return election.ClaimResult{}, nil
	}
	lease, err := a.store.GrantLease(ctx, a.times.LeaseTTL)
	if err != nil {
		return election.ClaimResult{}, err
	}
	// A worker can hold a token of a later term than the term record has only if the store has lost the record of the
	// later term. Even then, claim a term above every term that this controller has seen.
	term := max(current.term.Term, e.AboveTerm) + 1
	revision, err := a.writeClaim(ctx, current, term, lease)
	if err != nil {
		return election.ClaimResult{}, err
	}
	return election.ClaimResult{
		Won:          true,
		Term:         term,
		Revision:     revision,
		FeatureLevel: featurelevel.Level(current.term.FeatureLevel),
		LeaseID:      lease,
		SentAt:       sent,
	}, nil
}

// readTerm reads the term record into current. A missing record leaves current unchanged.
func (a *electionActor) readTerm(ctx context.Context, current *leadershipRecords) error {
	record, err := a.store.Get(ctx, storage.BudgetUrgent, storage.TermKey)
	if err != nil || record.Revision == 0 {
		return err
	}
	current.termRevision = record.Revision
	current.term, err = storage.DecodeTerm(record.Value)
	return err
}

// finalLevelUnsupported reports whether the final feature level is newer than the levels that this version supports, in
// which case this controller must not lead. This is logged only once.
func (a *electionActor) finalLevelUnsupported(term storage.TermRecord) bool {
	own := a.features.featureLevel()
	if term.FeatureLevel <= int(own) {
		return false
	}
	a.unsupportedLevelLogged.Do(func() {
		a.log.Error("feature level not supported", "level", term.FeatureLevel, "supported_level", own)
	})
	return true
}

// writeClaim writes the term record and the leader key of a new term in one transaction, and returns its revision. It
// returns errClaimLost if the term or the leader key has changed since they were read.
func (a *electionActor) writeClaim(
	ctx context.Context,
	current leadershipRecords,
	term, lease uint64,
) (uint64, error) {
	termValue, err := storage.EncodeTerm(storage.TermRecord{
		Term:         term,
		Controller:   a.cfg.Name,
		ClaimID:      fmt.Sprint(lease),
		FeatureLevel: current.term.FeatureLevel,
	})
	if err != nil {
		return 0, err
	}
	keyValue, err := protocol.Encode(storage.LeaderRecord{Controller: a.cfg.Name, Term: term})
	if err != nil {
		return 0, err
	}
	outcome, err := a.store.Txn(ctx, storage.BudgetUrgent, protocol.Txn{
		If: []protocol.Compare{
			{Key: storage.TermKey, Revision: current.termRevision},
			{Key: storage.LeaderKey, Revision: current.keyRevision},
		},
		Then: []protocol.Op{
			{PutKey: storage.TermKey, Value: termValue},
			{PutKey: storage.LeaderKey, Value: keyValue, LeaseID: lease},
		},
	})
	if err != nil {
		return 0, fmt.Errorf("write term %d: %w", term, err)
	}
	if !outcome.Succeeded {
		return 0, errClaimLost
	}
	return outcome.Revision, nil
}
