package main

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/camphorpaddle/camphorpaddle/core/types"
	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/urfave/cli/v3"
)

func profileCommand() *cli.Command {
	return &cli.Command{
		Name: "profile", Usage: "show the profiles in effect",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the profiles", Action: withClient(listProfiles)},
			{Name: "show", Usage: "show one profile", ArgsUsage: "PROFILE", Action: withClient(showProfile)},
		},
	}
}

// profile is the JSON form of a profile.
type profile struct {
	Name           string        `json:"name"`
	Freshness      string        `json:"freshness"`
	MaxAge         time.Duration `json:"max_age_ns,omitempty"`
	Idempotent     string        `json:"idempotent"`
	Durability     string        `json:"durability"`
	RequestTimeout time.Duration `json:"request_timeout_ns"`
	QueueTimeout   time.Duration `json:"queue_timeout_ns"`
	DrainTimeout   time.Duration `json:"drain_timeout_ns"`
	Weight         int           `json:"weight"`
	Priority       int           `json:"priority"`
	Services       []string      `json:"services"`
}

// profiles returns the profiles in effect, sorted by name.
func (inv *invocation) profiles(ctx context.Context) ([]profile, error) {
	cfg, err := inv.currentConfig(ctx)
	if err != nil || cfg.Version == 0 {
		return nil, err
	}
	parsed, err := settings.ParseConfig("configuration in force", []byte(cfg.Source))
	if err != nil {
		return nil, err
	}
	var out []profile
	for _, name := range slices.Sorted(maps.Keys(parsed.Profiles)) {
		out = append(out, newProfile(parsed, parsed.Profiles[name]))
	}
	return out, nil
}

// newProfile returns the JSON form of a profile with the services that offer it.
func newProfile(cfg *types.Config, p types.Profile) profile {
	out := profile{
		Name: string(p.Name), MaxAge: p.MaxAge, Weight: p.Weight, Priority: p.Priority,
		Freshness:      settings.FreshnessName(p.Freshness),
		Idempotent:     settings.IdempotenceName(p.Idempotent),
		Durability:     settings.DurabilityName(p.Durability),
		RequestTimeout: p.RequestTimeout, QueueTimeout: p.QueueTimeout, DrainTimeout: p.DrainTimeout,
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		if slices.Contains(cfg.Services[name].Profiles, p.Name) {
			out.Services = append(out.Services, string(name))
		}
	}
	return out
}

func listProfiles(ctx context.Context, inv *invocation, _ *cli.Command) error {
	all, err := inv.profiles(ctx)
	if err != nil {
		return err
	}
	t := &table{header: []string{"PROFILE", "FRESHNESS", "MAX AGE", "IDEMPOTENT", "DURABILITY", "WEIGHT", "SERVICES"}}
	for _, p := range all {
		t.add(p.Name, p.Freshness, p.MaxAge, p.Idempotent, p.Durability, p.Weight, len(p.Services))
	}
	return inv.out.print(all, t)
}

func showProfile(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	args, err := cmdline.ExactArgs(cmd, "PROFILE")
	if err != nil {
		return err
	}
	all, err := inv.profiles(ctx)
	if err != nil {
		return err
	}
	for _, p := range all {
		if p.Name == args[0] {
			return inv.out.print(p, detailTable(p))
		}
	}
	return &api.Error{Kind: api.ErrNotFound, Message: "profile " + args[0] + " does not exist"}
}

func detailTable(p profile) *table {
	t := &table{header: []string{"PROFILE", p.Name}}
	t.add("freshness", p.Freshness)
	if p.MaxAge > 0 {
		t.add("max_age", p.MaxAge)
	}
	t.add("idempotent", p.Idempotent)
	t.add("durability", p.Durability)
	t.add("request_timeout", p.RequestTimeout)
	t.add("queue_timeout", p.QueueTimeout)
	t.add("drain_timeout", p.DrainTimeout)
	t.add("weight", p.Weight)
	t.add("priority", p.Priority)
	for _, svc := range p.Services {
		t.add("service", svc)
	}
	return t
}
