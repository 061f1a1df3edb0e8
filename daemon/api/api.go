// Package api holds the messages of the operators' HTTP interface and its
// client.
package api

import (
	"fmt"
	"time"

	"github.com/camphorpaddle/camphorpaddle/settings"
)

// The paths of the interface.
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
)

// DrainPath returns the path that drains a target.
func DrainPath(service, target string) string {
	return "/v1/targets/" + service + "/" + target + "/drain"
}

// HostPath returns the path of a control host.
func HostPath(host string) string { return PathHosts + "/" + host }

// Announcement is what a target says of itself.
type Announcement struct {
	Service          string `json:"service"`
	Name             string `json:"name"`
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
}

// ConfigChange asks for a new version of the operators' configuration.
type ConfigChange struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"` // version that the change is based on
	File     string `json:"file"` // name of the file, for findings
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

// Config is the configuration in force.
type Config struct {
	Version uint64 `json:"version"`
	Source  string `json:"source"`
}

// Promote asks for an ordered change of primary.
type Promote struct {
	Service string `json:"service"`
	To      string `json:"to,omitempty"` // empty lets control choose
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
	ConfigSince   uint64    `json:"config_since"` // view version that brought it
	Hosts         []Host    `json:"hosts"`
	Proxies       []Proxy   `json:"proxies"`
	Services      []Service `json:"services"`
}

// Behind lists the proxies that serve and do not act on a version of the
// configuration yet. A version that was replaced meanwhile is in force once its
// successor is.
func (s *Status) Behind(version uint64) []string {
	var out []string
	for _, p := range s.Proxies {
		if s.ConfigVersion < version || p.LeaseLive && p.Seen < s.ConfigSince {
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

// Proxy is a proxy as the leader knows it.
type Proxy struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	LeaseLive        bool   `json:"lease_live"`
	Have             uint64 `json:"have"` // version of the view that it holds
	Seen             uint64 `json:"seen"` // version that all its shards act on
}

// Service is a database group.
type Service struct {
	Name    string   `json:"name"`
	Phase   string   `json:"phase"`
	Term    uint64   `json:"term"`
	Primary string   `json:"primary,omitempty"`
	Members int      `json:"members"` // configured size
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
	Behind           uint64        `json:"behind"` // offsets behind the furthest member
	Failing          bool          `json:"failing"`
	HeardAgo         time.Duration `json:"heard_ago_ns"`
}

// ProxyStatus is what a proxy says of itself.
type ProxyStatus struct {
	Host          string `json:"host"`
	LeaseLive     bool   `json:"lease_live"`
	ViewVersion   uint64 `json:"view_version"`
	ConfigVersion uint64 `json:"config_version"`
	Draining      bool   `json:"draining"`
}

// ErrorKind is the kind of a refused call.
type ErrorKind string

// The kinds of errors.
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

// Error is the answer to a call that was not carried out.
type Error struct {
	Kind     ErrorKind          `json:"kind"`
	Message  string             `json:"message"`
	Leader   string             `json:"leader,omitempty"`  // set with not_leader
	Version  uint64             `json:"version,omitempty"` // current version, set with conflict
	Findings []settings.Finding `json:"findings,omitempty"`
}

// Error returns the kind and the message.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }
