package session

import (
	"fmt"

	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// setupDone handles the results of the operations that set up the connection, which come
// first in an exchange. It reports whether all succeeded.
func (s *Shard) setupDone(r *request, results []types.Result) bool {
	for _, res := range results[:len(r.setup)] {
		if res.Err != types.TargetErrNone {
			s.setupFailed(r, res, results[len(results)-1].Tx)
			return false
		}
	}
	r.conn.RecordSetup(r.setup)
	return true
}

// setupFailed retries or refuses a request whose connection did not get its setup. The
// request's statement was not sent, or was a BEGIN whose transaction is rolled back. tx is
// the state of the connection after the exchange.
func (s *Shard) setupFailed(r *request, res types.Result, tx types.TxStatus) {
	reason := fmt.Sprintf("target %s failed to set up the connection", r.target)
	if executed(res) {
		s.recordFailure(r)
	}
	r.conn.ForgetSetup()
	if r.inTx {
		if tx != types.TxOpen {
			s.refuse(r, types.RefuseTransactionLost, r.outcome(), reason)
			return
		}
		s.retryPinned(r, s.rejectionBackoff(r), reason)
		return
	}
	conn := r.conn
	r.conn, r.stage = nil, stageBackoff
	if tx == types.TxIdle {
		s.release(conn)
	} else {
		s.dropConn(conn)
	}
	if !s.retry(r, reason) {
		s.refuse(r, types.RefuseConnLost, r.outcome(), reason)
	}
}

// mayBeExecuting reports whether the target may be executing the request's statement.
func (r *request) mayBeExecuting() bool { return r.stage == stageRunning && r.step != stepSetup }
