package settings

import (
	"net/url"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Role is the kind of a daemon.
type Role uint8

// The roles.
const (
	RoleProxy Role = iota
	RoleControl
)

// String returns the role's name.
func (r Role) String() string {
	if r == RoleControl {
		return "control"
	}
	return "proxy"
}

// Daemon holds the settings of one daemon.
type Daemon struct {
	Role             Role
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Region           string
	Listen           Listen
	Advertise        types.Address   // where other control hosts reach this one; control only
	Control          []types.Address // peer addresses of the control hosts
	DataFolder       string          // control only
	Voters           consensus.Policy
	Security         Security
	CallersTLS       CallersTLS // proxy only
	Limits           Limits
	Target           Target
	Shards           int           // proxy only
	DrainLimit       time.Duration // longest graceful stop
	UnreadyDelay     time.Duration // time after a stop was asked for in which new callers are still served; proxy only
	Trace            Trace
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	Callers types.Address // PostgreSQL protocol; proxy only
	Peers   types.Address // other processes of the system; control only
	HTTP    types.Address // operators, announcements, health and metrics
}

// CallersTLS names the files of the TLS that callers are offered; both are
// empty when it is off.
type CallersTLS struct {
	CertificateFile string
	PrivateKeyFile  string
}

// Limits bounds what a caller may use of a proxy.
type Limits struct {
	MessageBytes int64
	AnswerBytes  int64
	Sessions     int
	StartupTime  time.Duration
}

// Target says how the system logs in to targets.
type Target struct {
	User         string
	Database     string
	PasswordFile string
}

// Trace sets the export of traces.
type Trace struct {
	Endpoint string  // OTLP over HTTP; empty turns the export off
	Sample   float64 // share of the requests without a trace of their own
}

// DefaultDrainLimit is the drain limit of a file that gives none.
const DefaultDrainLimit = 30 * time.Second

// Defaults of the daemons' settings.
const (
	defaultMessageBytes = 16 * mebibyte
	defaultAnswerBytes  = 64 * mebibyte
	defaultSessions     = 10_000
	defaultStartupTime  = 5 * time.Second
	defaultShards       = 4
	defaultUser         = "paddle"
	defaultSample       = 0.01
)

// Bounds of the daemons' settings.
const (
	minMessageBytes = kibibyte
	maxMessageBytes = gibibyte
	maxSessions     = 1_000_000
	maxStartupTime  = time.Minute
	maxShards       = 256
	maxVoters       = 9
)

// ParseDaemon reads the settings of a daemon of the given role. The error is
// an *InvalidError.
func ParseDaemon(file string, data []byte, role Role) (*Daemon, error) {
	d := &decoder{file: file}
	root := d.root(data)
	out := &Daemon{
		Role:             role,
		Host:             types.HostID(root.name("host")),
		AvailabilityZone: types.AvailabilityZone(root.name("availability_zone")),
		Region:           root.name("region"),
		Control:          root.addresses("control"),
		DrainLimit: root.duration("drain_limit", DefaultDrainLimit,
			span[time.Duration]{time.Second, maxTimeout}),
	}
	out.Listen = root.listen(role)
	out.Security = root.security()
	out.Target = root.target()
	out.Trace = root.trace()
	if role == RoleProxy {
		out.Limits = root.limits()
		out.CallersTLS = root.callersTLS()
		out.UnreadyDelay = root.duration("unready_delay", 0, span[time.Duration]{0, maxTimeout})
		out.Shards = root.integer("shards", defaultShards, span[int]{1, maxShards})
	} else {
		out.Advertise = root.address("advertise", false)
		root.need("data_folder")
		out.DataFolder = root.text("data_folder", "")
		out.Voters = root.voters()
	}
	root.close()
	root.checkDaemon(out)
	if err := d.err(); err != nil {
		return nil, err
	}
	return out, nil
}

// voters reads how many control hosts vote and how soon a spare one replaces
// one of them.
func (m *mapping) voters() consensus.Policy {
	v := m.sub("voters")
	out := consensus.DefaultPolicy()
	out.Voters = v.integer("count", out.Voters, span[int]{1, maxVoters})
	out.VoterSilence = v.duration("replaced_after", out.VoterSilence, span[time.Duration]{time.Second, maxTimeout})
	v.close()
	if out.Voters%2 == 0 {
		v.add(v.at("count"), join(v.path, "count"), "%d is even: use an odd number, so that one loss more is borne", out.Voters)
	}
	return out
}

// addresses reads a list of addresses without doubles.
func (m *mapping) addresses(key string) []types.Address {
	if _, ok := m.need(key); !ok {
		return nil
	}
	var out []types.Address
	seen := make(map[types.Address]bool)
	for _, e := range m.list(key) {
		a := m.addressValue(e.value, e.path, false)
		if a == "" {
			continue
		}
		if seen[a] {
			m.add(e.value, e.path, "%s is listed twice", a)
			continue
		}
		seen[a] = true
		out = append(out, a)
	}
	if len(out) == 0 {
		m.add(m.at(key), join(m.path, key), "must list at least one address")
	}
	return out
}

func (m *mapping) listen(role Role) Listen {
	m.need("listen")
	l := m.sub("listen")
	out := Listen{HTTP: l.address("http", true)}
	if role == RoleProxy {
		out.Callers = l.address("callers", true)
	} else {
		out.Peers = l.address("peers", true)
	}
	l.close()
	return out
}

func (m *mapping) callersTLS() CallersTLS {
	c := m.sub("callers_tls")
	out := CallersTLS{
		CertificateFile: c.text("certificate_file", ""),
		PrivateKeyFile:  c.text("private_key_file", ""),
	}
	c.close()
	if (out.CertificateFile == "") != (out.PrivateKeyFile == "") {
		m.add(c.node, c.path, "TLS for callers needs certificate_file and private_key_file")
	}
	return out
}

// DefaultLimits returns the limits of a file that gives none.
func DefaultLimits() Limits {
	return Limits{
		MessageBytes: defaultMessageBytes, AnswerBytes: defaultAnswerBytes,
		Sessions: defaultSessions, StartupTime: defaultStartupTime,
	}
}

func (m *mapping) limits() Limits {
	l := m.sub("limits")
	sizes := span[int64]{minMessageBytes, maxMessageBytes}
	out := DefaultLimits()
	out.MessageBytes = l.size("message_size", out.MessageBytes, sizes)
	out.AnswerBytes = l.size("answer_size", out.AnswerBytes, sizes)
	out.Sessions = l.integer("sessions", out.Sessions, span[int]{1, maxSessions})
	out.StartupTime = l.duration("startup_time", out.StartupTime,
		span[time.Duration]{time.Millisecond, maxStartupTime})
	l.close()
	return out
}

// DefaultTarget returns the login to targets of a file that gives none.
func DefaultTarget() Target { return Target{User: defaultUser} }

func (m *mapping) target() Target {
	t := m.sub("target")
	out := DefaultTarget()
	out.User = t.text("user", out.User)
	out.Database = t.text("database", "")
	out.PasswordFile = t.text("password_file", "")
	t.close()
	return out
}

func (m *mapping) trace() Trace {
	t := m.sub("trace")
	out := Trace{
		Endpoint: t.text("endpoint", ""),
		Sample:   t.fraction("sample", defaultSample),
	}
	t.close()
	if out.Endpoint != "" && !isEndpoint(out.Endpoint) {
		t.add(t.at("endpoint"), join(t.path, "endpoint"),
			"%q must be a URL with a path, such as http://10.0.0.9:4318/v1/traces", out.Endpoint)
	}
	return out
}

// isEndpoint reports whether s is an HTTP URL with a host and a path.
func isEndpoint(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path != ""
}

// checkDaemon finds contradictions between the settings.
func (m *mapping) checkDaemon(d *Daemon) {
	open := false
	for _, a := range []types.Address{d.Listen.HTTP, d.Listen.Peers} {
		open = open || a != "" && !IsLoopback(a)
	}
	if open && d.Security.KeyFile == "" {
		m.add(m.at("listen"), "security.key_file",
			"is missing: it is required when http or peers can be reached from other hosts")
	}
	if d.Role == RoleControl && m.has("data_folder") && d.DataFolder == "" {
		m.add(m.at("data_folder"), "data_folder", "must name a folder")
	}
}
