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
	"github.com/urfave/cli/v3"
)

// waitPause is the time between two looks at the proxies.
const waitPause = 100 * time.Millisecond

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "the operators' configuration: services and profiles",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a file without changing anything", ArgsUsage: "FILE",
				Action: checkConfig,
			},
			{Name: "show", Usage: "show the configuration in force", Action: online(showConfig)},
			{
				Name: "apply", Usage: "make a file the configuration in force", ArgsUsage: "FILE",
				Description: "The change is based on a version; when another change came in between, it is\n" +
					"refused as a conflict and nothing changes. Sending the same file on the same\n" +
					"base again is the same change and gets the same answer.",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "base", Usage: "`VERSION` that the change is based on; the one in force if not given"},
					&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; made from base and content if not given"},
					&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every proxy"},
				},
				Action: online(applyConfig),
			},
			{Name: "history", Usage: "list the changes", Action: online(showHistory)},
		},
	}
}

func checkConfig(_ context.Context, cmd *cli.Command) error {
	out, err := newPrinter(cmd)
	if err != nil {
		return err
	}
	args, err := cmdline.Args(cmd, "FILE")
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
	found := struct {
		Services int `json:"services"`
		Profiles int `json:"profiles"`
	}{len(cfg.Services), len(cfg.Profiles)}
	return out.line(found, "%s: valid, %d services, %d profiles", args[0], found.Services, found.Profiles)
}

// current returns the configuration in force.
func (s *session) current(ctx context.Context) (api.Config, error) {
	var cfg api.Config
	err := s.Call(ctx, "GET", api.PathConfig, nil, &cfg)
	return cfg, err
}

func showConfig(ctx context.Context, s *session, _ *cli.Command) error {
	cfg, err := s.current(ctx)
	if err != nil {
		return err
	}
	return s.out.line(cfg, "# version %d\n%s", cfg.Version, cfg.Source)
}

func applyConfig(ctx context.Context, s *session, cmd *cli.Command) error {
	args, err := cmdline.Args(cmd, "FILE")
	if err != nil {
		return err
	}
	change, err := s.newChange(ctx, cmd, args[0])
	if err != nil {
		return err
	}
	var result api.ChangeResult
	if err := s.Call(ctx, "PUT", api.PathConfig, change, &result); err != nil {
		return explainFindings(err)
	}
	if cmd.Bool("wait") {
		if err := s.waitInForce(ctx, result.Version); err != nil {
			return err
		}
	}
	return s.out.line(result, "version %d accepted, change %s", result.Version, result.ChangeID)
}

// newChange reads and checks the file of a change.
func (s *session) newChange(ctx context.Context, cmd *cli.Command, name string) (api.ConfigChange, error) {
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
		cfg, err := s.current(ctx)
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

// changeID returns the same id for the same file on the same base.
func changeID(base uint64, data []byte) string {
	return fmt.Sprintf("%d-%016x", base, xxhash.Sum64(data))
}

func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// explainFindings shows the findings of a control host like those found here.
func explainFindings(err error) error {
	var refused *api.Error
	if errors.As(err, &refused) && len(refused.Findings) > 0 {
		return &settings.InvalidError{Findings: refused.Findings}
	}
	return err
}

// waitInForce waits until every proxy acts on a version of the configuration,
// or has lost its lease and so serves nothing.
func (s *session) waitInForce(ctx context.Context, version uint64) error {
	for {
		st, err := s.LeaderStatus(ctx)
		if err != nil {
			return err
		}
		behind := st.ProxiesBehind(version)
		if st.Leading && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &api.Error{
				Kind:    api.ErrUnknown,
				Message: fmt.Sprintf("version %d is accepted, but not yet in force on %v", version, behind),
			}
		case <-time.After(waitPause):
		}
	}
}

func showHistory(ctx context.Context, s *session, _ *cli.Command) error {
	var changes []api.ChangeResult
	if err := s.Call(ctx, "GET", api.PathHistory, nil, &changes); err != nil {
		return err
	}
	t := &table{header: []string{"VERSION", "ACCEPTED", "CHANGE", "AUTHOR", "REASON"}}
	for _, c := range changes {
		t.add(c.Version, yes(c.Accepted), c.ChangeID, c.Author, c.Reason)
	}
	return s.out.print(changes, t)
}
