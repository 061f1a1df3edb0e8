package main

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"time"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/cmdline"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
)

// statusPollInterval is the time between two status requests while --wait waits.
const statusPollInterval = 100 * time.Millisecond

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "the operators' configuration: services, profiles and routes",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "validate a file without applying it", ArgsUsage: "FILE",
				Action: checkConfig,
			},
			{
				Name: "show", Usage: "show the current configuration",
				Description: "If it has organisations, their keys are hidden and comments are left out.",
				Flags:       []cli.Flag{&cli.BoolFlag{Name: "keys", Usage: "show the text as it was applied, with the keys of organisations"}},
				Action:      withClient(showConfig),
			},
			{
				Name: "apply", Usage: "apply a configuration file", ArgsUsage: "FILE",
				Description: "The change is based on a version. If another change was accepted in between,\n" +
					"this one is refused as a conflict and nothing changes. Sending the same file again\n" +
					"on the same base is the same change and gets the same answer.",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change is based on (default: the current one)"},
					&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change (default: derived from base and content)"},
					&cli.BoolFlag{Name: "wait", Usage: "wait until every proxy has applied the change"},
				},
				Action: withClient(applyConfig),
			},
			{Name: "history", Usage: "list the configuration changes", Action: withClient(showHistory)},
		},
	}
}

func checkConfig(_ context.Context, cmd *cli.Command) error {
	out, err := newPrinter(cmd)
	if err != nil {
		return err
	}
	args, err := cmdline.ExactArgs(cmd, "FILE")
	if err != nil {
		return err
	}
	data, err := cmdline.ReadFile(args[0])
	if err != nil {
		return err
	}
	cfg, err := settings.ParseConfig(args[0], data)
	if err != nil {
		return err
	}
	summary := struct {
		Services      int `json:"services"`
		Profiles      int `json:"profiles"`
		Organisations int `json:"organisations"`
	}{len(cfg.Services), len(cfg.Profiles), len(cfg.Organisations)}
	return out.line(summary, "%s: valid, %d services, %d profiles, %d organisations",
		args[0], summary.Services, summary.Profiles, summary.Organisations)
}

// currentConfig returns the configuration in effect.
func (inv *invocation) currentConfig(ctx context.Context) (api.Config, error) {
	var cfg api.Config
	err := inv.Call(ctx, "GET", api.PathConfig, nil, &cfg)
	return cfg, err
}

func showConfig(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	cfg, err := inv.currentConfig(ctx)
	if err != nil {
		return err
	}
	if cfg.Organisations > 0 && !cmd.Bool("keys") {
		if cfg.Source, err = settings.HideKeys(cfg.Source); err != nil {
			return trace.Wrap(err, "hiding the keys of organisations; --keys shows the text as it was applied")
		}
	}
	return inv.out.line(cfg, "# version %d\n%s", cfg.Version, cfg.Source)
}

func applyConfig(ctx context.Context, inv *invocation, cmd *cli.Command) error {
	args, err := cmdline.ExactArgs(cmd, "FILE")
	if err != nil {
		return err
	}
	change, err := inv.newChange(ctx, cmd, args[0])
	if err != nil {
		return err
	}
	var result api.ChangeResult
	if err := inv.Call(ctx, "PUT", api.PathConfig, change, &result); err != nil {
		return findingsError(err)
	}
	if cmd.Bool("wait") {
		if err := inv.waitApplied(ctx, result.Version); err != nil {
			return err
		}
	}
	return inv.out.line(result, "version %d accepted, change %s", result.Version, result.ChangeID)
}

// newChange reads and validates a configuration file and returns the change that
// applies it.
func (inv *invocation) newChange(ctx context.Context, cmd *cli.Command, name string) (api.ConfigChange, error) {
	data, err := cmdline.ReadFile(name)
	if err != nil {
		return api.ConfigChange{}, err
	}
	if _, err := settings.ParseConfig(name, data); err != nil {
		return api.ConfigChange{}, err
	}
	change := api.ConfigChange{
		ChangeID: cmd.String("change-id"), Base: cmd.Uint64("base"),
		File: name, Source: string(data), Author: author(),
	}
	if !cmd.IsSet("base") {
		cfg, err := inv.currentConfig(ctx)
		if err != nil {
			return api.ConfigChange{}, err
		}
		change.Base = cfg.Version
	}
	if change.ChangeID == "" {
		change.ChangeID = changeID(change.Base, data)
	}
	return change, nil
}

// changeID derives the id of a change from its base and content, so that the
// control hosts recognize a change that is sent again.
func changeID(base uint64, data []byte) string {
	return fmt.Sprintf("%d-%016x", base, xxhash.Sum64(data))
}

// author returns the name of the user who runs the command, if known.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// findingsError turns an error with the findings of a control host into the error
// of a local check, so that both are shown alike.
func findingsError(err error) error {
	var refused *api.Error
	if errors.As(err, &refused) && len(refused.Findings) > 0 {
		return &settings.InvalidError{Findings: refused.Findings}
	}
	return err
}

// waitApplied waits until every proxy has applied a version of the configuration,
// or has no lease and therefore serves nothing.
func (inv *invocation) waitApplied(ctx context.Context, version uint64) error {
	var behind []string
	for {
		st, err := inv.LeaderStatus(ctx)
		if err == nil {
			behind = st.ProxiesBehind(version)
		}
		if err == nil && st.Leading && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			message := fmt.Sprintf("version %d was accepted, but is not known to be applied by every proxy; behind at the last answer: %v", version, behind)
			return &api.Error{Kind: api.ErrUnknown, Message: message}
		case <-time.After(statusPollInterval):
		}
	}
}

func showHistory(ctx context.Context, inv *invocation, _ *cli.Command) error {
	var changes []api.ChangeResult
	if err := inv.Call(ctx, "GET", api.PathHistory, nil, &changes); err != nil {
		return err
	}
	t := &table{header: []string{"VERSION", "ACCEPTED", "CHANGE", "AUTHOR", "REASON"}}
	for _, c := range changes {
		t.add(c.Version, yesNo(c.Accepted), c.ChangeID, c.Author, c.Reason)
	}
	return inv.out.print(changes, t)
}
