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

// errClaimLost says that the term or the leader's key has changed since a claim has read them.
var errClaimLost = errors.New("the term or the leader's key has changed")

// leadershipRecords are the records that a claim is decided by, with their revisions.
type leadershipRecords struct {
	term         storage.TermRecord
	termRevision uint64 // 0: there is no record
	keyRevision  uint64 // of the leader's key; 0: nobody holds it
}

// claim tries to take the leadership once.
func (a *electionActor) claim(ctx context.Context, e election.Claim) election.ClaimResult {
	result, err := a.tryClaim(ctx, e)
	if err != nil {
		a.log.Debug("leadership claim failed", "error", err)
		return election.ClaimResult{}
	}
	return result
}

func (a *electionActor) tryClaim(ctx context.Context, e election.Claim) (election.ClaimResult, error) {
	sent := a.now()
	var current leadershipRecords
	if err := a.readTerm(ctx, &current); err != nil {
		return election.ClaimResult{}, err
	}
	if a.newerLevelFinal(current.term) {
		return election.ClaimResult{}, nil
	}
	key, err := a.store.Get(ctx, storage.BudgetUrgent, storage.LeaderKey)
	if err != nil {
		return election.ClaimResult{}, err
	}
	current.keyRevision = key.Revision
	if current.term.Term > e.AboveTerm && key.Revision != 0 && current.term.Controller != a.cfg.Name {
		// Another controller was elected meanwhile.
		a.mailbox.Send(election.LeaderKey{Present: true, Holder: current.term.Controller, Term: current.term.Term})
		return election.ClaimResult{}, nil
	}
	lease, err := a.store.GrantLease(ctx, a.times.LeaseTTL)
	if err != nil {
		return election.ClaimResult{}, err
	}
	// A worker may have a token of a later term than the record's only if the
	// store has lost that record; be above what we have seen all the same.
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

func (a *electionActor) readTerm(ctx context.Context, current *leadershipRecords) error {
	record, err := a.store.Get(ctx, storage.BudgetUrgent, storage.TermKey)
	if err != nil || record.Revision == 0 {
		return err
	}
	current.termRevision = record.Revision
	current.term, err = storage.DecodeTerm(record.Value)
	return err
}

// newerLevelFinal returns whether a feature level is final that this version does not know, so that it can't lead.
func (a *electionActor) newerLevelFinal(term storage.TermRecord) bool {
	own := a.features.featureLevel()
	if term.FeatureLevel <= int(own) {
		return false
	}
	a.newerLevelLogged.Do(func() {
		a.log.Error("feature level not supported", "level", term.FeatureLevel, "supported_level", own)
	})
	return true
}

// writeClaim writes the records of a new term. It fails if the term or the leader's key has changed since they were
// read.
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
