package settings

import (
	"net/url"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/consensus"
	"github.com/camphorpaddle/camphorpaddle/core/routing"
	"github.com/camphorpaddle/camphorpaddle/core/types"
)

// Role says whether a daemon is a proxy or a control host.
type Role uint8

// Roles of a daemon.
const (
	RoleProxy Role = iota
	RoleControl
)

// String returns the role as logs and metrics name it.
func (r Role) String() string {
	if r == RoleControl {
		return "control"
	}
	return "proxy"
}

// Daemon holds the settings of one proxy or control host.
type Daemon struct {
	Role             Role
	Host             types.HostID
	AvailabilityZone types.AvailabilityZone
	Region           string
	Listen           Listen
	Advertise        types.Address   // peer address that other control hosts connect to; control only
	Control          []types.Address // peer addresses of the control hosts
	DataFolder       string          // control only
	Voters           consensus.Policy
	Security         Security
	CallersTLS       CallersTLS // proxy only
	Limits           Limits
	Target           Target
	Shards           int            // proxy only
	RoutingPolicy    routing.Policy // proxy only; nil if not set
	DrainLimit       time.Duration  // maximum duration of a graceful stop
	UnreadyDelay     time.Duration  // how long new callers are still accepted after a stop request; proxy only
	Trace            Trace
}

// Listen holds the addresses that a daemon listens on.
type Listen struct {
	Callers types.Address // PostgreSQL protocol; proxy only
	Peers   types.Address // other processes of the system; control only
	HTTP    types.Address // operators, announcements, health and metrics
}

// CallersTLS names the certificate files of TLS for callers; both are empty when
// it is off.
type CallersTLS struct {
	CertificateFile string
	PrivateKeyFile  string
}

// Limits bounds the resources that callers can use on a proxy.
type Limits struct {
	MessageBytes int64
	AnswerBytes  int64
	Sessions     int
	StartupTime  time.Duration
}

// Target holds the credentials for connections to targets.
type Target struct {
	User         string
	Database     string
	PasswordFile string
}

// Trace configures the export of traces.
type Trace struct {
	Endpoint string  // OTLP over HTTP; empty turns the export off
	Sample   float64 // sampled fraction of the requests that carry no trace context
}

// DefaultDrainLimit is the drain limit of a file that sets none.
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

// routingPolicies are the policies that a proxy can choose among replicas by.
var routingPolicies = map[string]routing.Policy{
	"two_choices":    routing.TwoChoices{},
	"lowest_latency": routing.LowestLatency{},
	"recent_latency": routing.RecentLatency{},
}

// ParseDaemon parses the settings of a daemon of the given role. An error is an
// *InvalidError.
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
			valueRange[time.Duration]{time.Second, maxTimeout}),
	}
	out.Listen = root.listen(role)
	out.Security = root.security()
	out.Target = root.target()
	out.Trace = root.trace()
	if role == RoleProxy {
		out.Limits = root.limits()
		out.CallersTLS = root.callersTLS()
		out.UnreadyDelay = root.duration("unready_delay", 0, valueRange[time.Duration]{0, maxTimeout})
		out.Shards = root.integer("shards", defaultShards, valueRange[int]{1, maxShards})
		out.RoutingPolicy = choice(root, "routing_policy", nil, routingPolicies)
	} else {
		out.Advertise = root.address("advertise", false)
		root.required("data_folder")
		out.DataFolder = root.text("data_folder", "")
		out.Voters = root.voters()
	}
	root.reportUnknownKeys()
	root.checkDaemon(out)
	if err := d.err(); err != nil {
		return nil, err
	}
	return out, nil
}

// voters reads the number of voting control hosts and the time without contact
// after which a spare replaces a voter.
func (m *mapping) voters() consensus.Policy {
	v := m.submapping("voters")
	out := consensus.DefaultPolicy()
	out.Voters = v.integer("count", out.Voters, valueRange[int]{1, maxVoters})
	out.VoterSilence = v.duration("replaced_after", out.VoterSilence, valueRange[time.Duration]{time.Second, maxTimeout})
	v.reportUnknownKeys()
	if out.Voters%2 == 0 {
		v.addFinding(v.valueNode("count"), joinPath(v.path, "count"),
			"%d is even: use an odd number, since %d voters tolerate no more failures than %d",
			out.Voters, out.Voters, out.Voters-1)
	}
	return out
}

// addresses reads a required list of distinct addresses.
func (m *mapping) addresses(key string) []types.Address {
	if _, ok := m.required(key); !ok {
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
			m.addFinding(e.value, e.path, "%s is listed twice", a)
			continue
		}
		seen[a] = true
		out = append(out, a)
	}
	if len(out) == 0 {
		m.addFinding(m.valueNode(key), joinPath(m.path, key), "must list at least one address")
	}
	return out
}

func (m *mapping) listen(role Role) Listen {
	m.required("listen")
	l := m.submapping("listen")
	out := Listen{HTTP: l.address("http", true)}
	if role == RoleProxy {
		out.Callers = l.address("callers", true)
	} else {
		out.Peers = l.address("peers", true)
	}
	l.reportUnknownKeys()
	return out
}

func (m *mapping) callersTLS() CallersTLS {
	c := m.submapping("callers_tls")
	out := CallersTLS{
		CertificateFile: c.text("certificate_file", ""),
		PrivateKeyFile:  c.text("private_key_file", ""),
	}
	c.reportUnknownKeys()
	if (out.CertificateFile == "") != (out.PrivateKeyFile == "") {
		m.addFinding(c.node, c.path, "TLS for callers needs certificate_file and private_key_file")
	}
	return out
}

// DefaultLimits returns the limits of a file that sets none.
func DefaultLimits() Limits {
	return Limits{
		MessageBytes: defaultMessageBytes, AnswerBytes: defaultAnswerBytes,
		Sessions: defaultSessions, StartupTime: defaultStartupTime,
	}
}

func (m *mapping) limits() Limits {
	l := m.submapping("limits")
	sizes := valueRange[int64]{minMessageBytes, maxMessageBytes}
	out := DefaultLimits()
	out.MessageBytes = l.size("message_size", out.MessageBytes, sizes)
	out.AnswerBytes = l.size("answer_size", out.AnswerBytes, sizes)
	out.Sessions = l.integer("sessions", out.Sessions, valueRange[int]{1, maxSessions})
	out.StartupTime = l.duration("startup_time", out.StartupTime,
		valueRange[time.Duration]{time.Millisecond, maxStartupTime})
	l.reportUnknownKeys()
	return out
}

// DefaultTarget returns the credentials of a file that sets none.
func DefaultTarget() Target { return Target{User: defaultUser} }

func (m *mapping) target() Target {
	t := m.submapping("target")
	out := DefaultTarget()
	out.User = t.text("user", out.User)
	out.Database = t.text("database", "")
	out.PasswordFile = t.text("password_file", "")
	t.reportUnknownKeys()
	return out
}

func (m *mapping) trace() Trace {
	t := m.submapping("trace")
	out := Trace{
		Endpoint: t.text("endpoint", ""),
		Sample:   t.fraction("sample", defaultSample),
	}
	t.reportUnknownKeys()
	if out.Endpoint != "" && !isEndpoint(out.Endpoint) {
		t.addFinding(t.valueNode("endpoint"), joinPath(t.path, "endpoint"),
			"%q must be a URL with a path, such as http://10.0.0.9:4318/v1/traces", out.Endpoint)
	}
	return out
}

// isEndpoint reports whether s is an HTTP URL with a host and a path.
func isEndpoint(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.Path != ""
}

// checkDaemon reports settings that contradict each other.
func (m *mapping) checkDaemon(d *Daemon) {
	reachable := false
	for _, a := range []types.Address{d.Listen.HTTP, d.Listen.Peers} {
		reachable = reachable || a != "" && !IsLoopback(a)
	}
	if reachable && d.Security.KeyFile == "" {
		m.addFinding(m.valueNode("listen"), "security.key_file",
			"is missing: it is required when http or peers can be reached from other hosts")
	}
	if d.Role == RoleControl && m.has("data_folder") && d.DataFolder == "" {
		m.addFinding(m.valueNode("data_folder"), "data_folder", "must name a folder")
	}
}
