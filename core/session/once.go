package session

import "github.com/camphorpaddle/camphorpaddle/core/types"

// claimDone sends the statement once the request's id is recorded, or looks up
// the answer of the earlier run of the same id.
func (s *Shard) claimDone(r *request, res types.Result) {
	switch {
	case res.Err == types.TargetErrNone && res.Tx != types.TxOpen:
		s.attemptFailed(r, true, types.RefuseReplaced, "target "+string(r.target)+" did not begin a transaction for the request's id")
	case res.Err == types.TargetErrNone:
		s.send(r, stepRun)
	case res.Err == types.TargetErrDuplicate:
		s.send(r, stepLookup)
	default:
		s.attemptFailed(r, true, types.RefuseReplaced, "target "+string(r.target)+" could not record the request's id")
	}
}

// runDone stores the answer with the id. If the statement failed, the id is
// rolled back with it.
func (s *Shard) runDone(r *request, res types.Result) {
	r.answer = types.Answer{Payload: res.Payload, Tx: res.Tx}
	if res.Err == types.TargetErrNone {
		s.send(r, stepRecord)
		return
	}
	if r.inTx {
		s.bindOrReleaseConn(r, res.Tx)
		s.acknowledge(r)
		return
	}
	s.send(r, stepRollback)
}

// rollbackDone answers with the statement's error, after its transaction and
// the id in it were rolled back.
func (s *Shard) rollbackDone(r *request, res types.Result) {
	r.answer.Tx = res.Tx
	s.bindOrReleaseConn(r, res.Tx)
	s.acknowledge(r)
}

// recordDone acknowledges the request once its answer is stored.
func (s *Shard) recordDone(r *request, results []types.Result) {
	for _, res := range results[:len(results)-1] {
		if res.Err != types.TargetErrNone {
			s.attemptFailed(r, true, types.RefuseReplaced, "target "+string(r.target)+" could not store the answer")
			return
		}
	}
	tx := results[len(results)-2].Tx
	r.answer.Tx = tx
	s.bindOrReleaseConn(r, tx)
	s.acknowledge(r)
}

// lookupDone answers with the recorded answer of the id's earlier run.
func (s *Shard) lookupDone(r *request, res types.Result) {
	if res.Err != types.TargetErrNone || !res.Found {
		r.mayHaveRun = true
		s.bindOrReleaseConn(r, res.Tx)
		s.refuse(r, types.RefuseConnLost, types.Unknown, "a request with this id already ran and its answer was not recorded")
		return
	}
	r.answer = types.Answer{Payload: res.Payload, Tx: res.Tx}
	s.bindOrReleaseConn(r, res.Tx)
	s.acknowledge(r)
}
