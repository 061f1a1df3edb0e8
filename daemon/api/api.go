// Package api defines the messages of the operators' HTTP interface and a client for
// it.
package api

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/settings"
)

// Paths of the HTTP interface.
const (
	PathAnnounce = "/v1/announce"
	PathConfig   = "/v1/config"
	PathHistory  = "/v1/config/history"
	PathStatus   = "/v1/status"
	PathPromote  = "/v1/promote"
	PathHosts    = "/v1/hosts"
	PathDrain    = "/v1/targets/{service}/{target}/drain"
	PathHost     = "/v1/hosts/{host}"
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathMetrics  = "/metrics"

	PathOrganisations = "/v1/organisations"
)

// DrainPath returns PathDrain for a target.
func DrainPath(service, target string) string {
	return "/v1/targets/" + service + "/" + target + "/drain"
}

// HostPath returns PathHost for a control host.
func HostPath(host string) string { return PathHosts + "/" + host }

// Announcement is a target's report that it is available or leaving.
type Announcement struct {
	Service          string `json:"service"`
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
}

// ConfigChange requests a new version of the operators' configuration.
type ConfigChange struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"` // configuration version that the change is based on
	File     string `json:"file"` // file name for findings
	Source   string `json:"source"`
	Author   string `json:"author"`
}

// ChangeResult is the outcome of a ConfigChange.
type ChangeResult struct {
	ChangeID string `json:"change_id"`
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version"`
	Reason   string `json:"reason,omitempty"`
	Author   string `json:"author,omitempty"`
}

// Config is the configuration in effect.
type Config struct {
	Version       uint64 `json:"version"`
	Source        string `json:"source"`        // with the keys of organisations
	Organisations int    `json:"organisations"` // number of organisations
}

// Organisation is an organisation with its limit and its use.
type Organisation struct {
	Name     string  `json:"name"`
	Keys     int     `json:"keys"` // number of keys
	Priority int     `json:"priority"`
	Rate     float64 `json:"rate"` // operations a second; 0 means no limit
	Burst    int     `json:"burst"`
	// Use is given for organisations with a limit, by the control leader.
	Use *OrganisationUse `json:"use,omitempty"`
}

// OrganisationUse is how much of an organisation's limit is in use.
type OrganisationUse struct {
	Limit  int    `json:"limit"`  // operations within the period
	Held   int    `json:"held"`   // of the limit, those that proxies may begin
	Used   int    `json:"used"`   // of those held, the ones that began within the period
	Period string `json:"period"` // as a duration
}

// Promote requests an ordered change of primary.
type Promote struct {
	Service string `json:"service"`
	To      string `json:"to,omitempty"` // empty lets the control hosts choose
}

// Status is the state of the system as one control host sees it.
type Status struct {
	Host          string    `json:"host"`
	Leader        string    `json:"leader"`
	Leading       bool      `json:"leading"`
	Term          uint64    `json:"term"`
	Commit        uint64    `json:"commit"`
	Applied       uint64    `json:"applied"`
	ConfigVersion uint64    `json:"config_version"`
	ConfigSince   uint64    `json:"config_since"` // first view version with this configuration
	Hosts         []Host    `json:"hosts"`
	Proxies       []Proxy   `json:"proxies"`
	Services      []Service `json:"services"`
}

// ProxiesBehind returns the proxies on which a version of the configuration is not in
// effect yet: all proxies before the control host has applied the version, and then
// those that serve with an older view. A version that has been replaced since is in effect
// once its successor is.
func (s *Status) ProxiesBehind(version uint64) []string {
	var out []string
	for _, p := range s.Proxies {
		if s.ConfigVersion < version || p.LeaseLive && p.AppliedVersion < s.ConfigSince {
			out = append(out, p.Host)
		}
	}
	return out
}

// Host is a control host.
type Host struct {
	Host             string `json:"host"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Role             string `json:"role"` // voter or spare
	Leader           bool   `json:"leader"`
}

// Proxy is the state of a proxy as known to the leader.
type Proxy struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	LeaseLive        bool   `json:"lease_live"`
	ViewVersion      uint64 `json:"have"` // version of the view that the proxy holds
	AppliedVersion   uint64 `json:"seen"` // version of the view that all its shards use
}

// Service is a database group.
type Service struct {
	Name    string   `json:"name"`
	Phase   string   `json:"phase"`
	Term    uint64   `json:"term"`
	Primary string   `json:"primary,omitempty"`
	Members int      `json:"members"` // configured number of members
	Targets []Target `json:"targets"`
}

// Target is a member of a database group.
type Target struct {
	Name             string        `json:"name"`
	Address          string        `json:"address"`
	AvailabilityZone string        `json:"availability_zone"`
	State            string        `json:"state"`
	Role             string        `json:"role"`
	Term             uint64        `json:"term"`
	Position         string        `json:"position,omitempty"`
	Behind           uint64        `json:"behind"` // log offset behind the most up-to-date member
	Failing          bool          `json:"failing"`
	SinceLastContact time.Duration `json:"heard_ago_ns"` // time since the last answer
}

// ProxyStatus is the state of a proxy as it reports it.
type ProxyStatus struct {
	Host          string `json:"host"`
	LeaseLive     bool   `json:"lease_live"`
	ViewVersion   uint64 `json:"view_version"`
	ConfigVersion uint64 `json:"config_version"`
	Draining      bool   `json:"draining"`
}

// ErrorKind classifies errors of the HTTP interface.
type ErrorKind string

// Kinds of errors.
const (
	ErrNotLeader    ErrorKind = "not_leader"
	ErrConflict     ErrorKind = "conflict"
	ErrNotFound     ErrorKind = "not_found"
	ErrRefused      ErrorKind = "refused"
	ErrUnknown      ErrorKind = "outcome_unknown"
	ErrInvalid      ErrorKind = "invalid"
	ErrUnauthorized ErrorKind = "unauthorized"
	ErrInternal     ErrorKind = "internal"
)

// Error is the response to a request that failed or whose outcome is unknown.
type Error struct {
	Kind     ErrorKind          `json:"kind"`
	Message  string             `json:"message"`
	Leader   string             `json:"leader,omitempty"`  // set with not_leader
	Version  uint64             `json:"version,omitempty"` // current version, set with conflict
	Findings []settings.Finding `json:"findings,omitempty"`
}

// Error returns the kind and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }
