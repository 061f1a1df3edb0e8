package settings

import (
	"strconv"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/gravitational/trace"
	"gopkg.in/yaml.v3"
)

// daemonFile is the YAML representation of a Daemon.
type daemonFile struct {
	Host             types.HostID           `yaml:"host"`
	AvailabilityZone types.AvailabilityZone `yaml:"availability_zone"`
	Region           string                 `yaml:"region"`
	Listen           listenFile             `yaml:"listen"`
	Advertise        types.Address          `yaml:"advertise,omitempty"`
	Control          []types.Address        `yaml:"control"`
	DataFolder       string                 `yaml:"data_folder,omitempty"`
	Security         *securityFile          `yaml:"security,omitempty"`
	CallersTLS       *callersTLSFile        `yaml:"callers_tls,omitempty"`
	Limits           *limitsFile            `yaml:"limits,omitempty"`
	Target           targetFile             `yaml:"target"`
	Shards           int                    `yaml:"shards,omitempty"`
	RoutingPolicy    string                 `yaml:"routing_policy,omitempty"`
	DrainLimit       string                 `yaml:"drain_limit"`
	UnreadyDelay     string                 `yaml:"unready_delay,omitempty"`
	Voters           *votersFile            `yaml:"voters,omitempty"`
	Trace            traceFile              `yaml:"trace"`
}

type listenFile struct {
	Callers types.Address `yaml:"callers,omitempty"`
	Peers   types.Address `yaml:"peers,omitempty"`
	HTTP    types.Address `yaml:"http"`
}

type securityFile struct {
	KeyFile         string `yaml:"key_file,omitempty"`
	AnnounceKeyFile string `yaml:"announce_key_file,omitempty"`
	CertificateFile string `yaml:"certificate_file,omitempty"`
	PrivateKeyFile  string `yaml:"private_key_file,omitempty"`
	AuthorityFile   string `yaml:"authority_file,omitempty"`
}

type callersTLSFile struct {
	CertificateFile string `yaml:"certificate_file"`
	PrivateKeyFile  string `yaml:"private_key_file"`
}

type limitsFile struct {
	MessageSize string `yaml:"message_size"`
	AnswerSize  string `yaml:"answer_size"`
	Sessions    int    `yaml:"sessions"`
	StartupTime string `yaml:"startup_time"`
}

type votersFile struct {
	Count         int    `yaml:"count"`
	ReplacedAfter string `yaml:"replaced_after"`
}

type targetFile struct {
	User         string `yaml:"user"`
	Database     string `yaml:"database,omitempty"`
	PasswordFile string `yaml:"password_file,omitempty"`
}

type traceFile struct {
	Endpoint string  `yaml:"endpoint"`
	Sample   float64 `yaml:"sample"`
}

// YAML returns a settings file for ParseDaemon that holds all settings of d.
func (d *Daemon) YAML() ([]byte, error) {
	f := daemonFile{
		Host: d.Host, AvailabilityZone: d.AvailabilityZone, Region: d.Region,
		Listen: listenFile(d.Listen), Advertise: d.Advertise, Control: d.Control,
		DataFolder: d.DataFolder, Target: targetFile(d.Target), Shards: d.Shards, RoutingPolicy: keyOf(routingPolicies, d.RoutingPolicy),
		DrainLimit: d.DrainLimit.String(), Trace: traceFile(d.Trace),
	}
	if d.Security != (Security{}) {
		s := securityFile(d.Security)
		f.Security = &s
	}
	if d.CallersTLS != (CallersTLS{}) {
		c := callersTLSFile(d.CallersTLS)
		f.CallersTLS = &c
	}
	if d.Role == RoleProxy {
		if d.UnreadyDelay > 0 {
			f.UnreadyDelay = d.UnreadyDelay.String()
		}
		f.Limits = &limitsFile{
			MessageSize: formatSize(d.Limits.MessageBytes), AnswerSize: formatSize(d.Limits.AnswerBytes),
			Sessions: d.Limits.Sessions, StartupTime: d.Limits.StartupTime.String(),
		}
	}
	if d.Role == RoleControl && d.Voters.Voters > 0 {
		f.Voters = &votersFile{Count: d.Voters.Voters, ReplacedAfter: d.Voters.VoterSilence.String()}
	}
	out, err := yaml.Marshal(f)
	return out, trace.Wrap(err)
}

// formatSize formats a size in the largest unit that divides it.
func formatSize(n int64) string {
	switch {
	case n >= gibibyte && n%gibibyte == 0:
		return strconv.FormatInt(n/gibibyte, 10) + "GiB"
	case n >= mebibyte && n%mebibyte == 0:
		return strconv.FormatInt(n/mebibyte, 10) + "MiB"
	case n >= kibibyte && n%kibibyte == 0:
		return strconv.FormatInt(n/kibibyte, 10) + "KiB"
	}
	return strconv.FormatInt(n, 10) + "B"
}
