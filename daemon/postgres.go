package daemon

import (
	target "github.com/camphorpaddle/camphorpaddle/dialer/pg"
	front "github.com/camphorpaddle/camphorpaddle/front/pg"
	"github.com/camphorpaddle/camphorpaddle/runtime"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
)

// PostgresEdge returns the edge for callers and targets that use the PostgreSQL
// protocol.
func PostgresEdge() Edge { return Edge{NewDialer: newTargetDialer, NewCallerServer: newCallerServer} }

// newTargetDialer returns the dialer of a daemon's connections to targets.
func newTargetDialer(s *settings.Daemon) (runtime.TargetDialer, error) {
	password, err := settings.ReadSecret(s.Target.PasswordFile)
	if err != nil {
		return nil, trace.Wrap(err, "reading the password for targets")
	}
	return target.NewDialer(target.Config{
		User: s.Target.User, Password: password, Database: s.Target.Database,
		MaxReply: int(s.Limits.AnswerBytes),
	}), nil
}

// maxBatchMessages bounds a batch, in messages of the maximum size.
const maxBatchMessages = 2

// newCallerServer returns the server for the proxy's callers.
func newCallerServer(s *settings.Daemon, p *runtime.Proxy) (CallerServer, error) {
	callers, err := s.CallersTLS.Load()
	if err != nil {
		return nil, err
	}
	return front.New(front.Config{
		TLS:            callers,
		MaxSessions:    s.Limits.Sessions,
		MaxMessage:     int(s.Limits.MessageBytes),
		MaxBatch:       int(s.Limits.MessageBytes) * maxBatchMessages,
		StartupTimeout: s.Limits.StartupTime,
	}, p), nil
}
