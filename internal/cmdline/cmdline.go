// Package cmdline holds what the commands of the system share: exit codes,
// the version, and the reading of settings.
package cmdline

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/settings"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"
)

// Exit codes of all commands.
const (
	ExitFailure      = 1 // anything that has no code of its own
	ExitUsage        = 2 // wrong flags or arguments
	ExitSettings     = 3 // a settings or configuration file is wrong
	ExitConflict     = 4 // the change is based on another version
	ExitNotFound     = 5 // no such service, target, host or file
	ExitUnreachable  = 6 // no control host that leads could be reached
	ExitRefused      = 7 // the call can't be done now
	ExitUnauthorized = 8 // the cluster key is missing or wrong
	ExitUnknown      = 9 // the outcome of the call is not known
)

// Version is set at build time; otherwise the version of the module is shown.
var Version = ""

// version returns the version of the build.
func version() string {
	if Version != "" {
		return Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// UsageError reports wrong flags or arguments.
type UsageError struct{ Message string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// Usage returns a UsageError.
func Usage(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

var kindCodes = map[api.ErrorKind]int{
	api.ErrNotLeader:    ExitUnreachable,
	api.ErrConflict:     ExitConflict,
	api.ErrNotFound:     ExitNotFound,
	api.ErrRefused:      ExitRefused,
	api.ErrUnknown:      ExitUnknown,
	api.ErrInvalid:      ExitSettings,
	api.ErrUnauthorized: ExitUnauthorized,
}

// Code returns the exit code that stands for an error.
func Code(err error) int {
	var usage *UsageError
	var invalid *settings.InvalidError
	var refused *api.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitSettings
	case errors.As(err, &refused):
		if code, ok := kindCodes[refused.Kind]; ok {
			return code
		}
	case trace.IsNotFound(err):
		return ExitNotFound
	case trace.IsConnectionProblem(err):
		return ExitUnreachable
	}
	return ExitFailure
}

// Main runs a command with the arguments of the process and exits.
func Main(cmd *cli.Command) {
	cmd.Version = version()
	err := Run(context.Background(), cmd, os.Args)
	klog.Flush()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", cmd.Name, trace.UserMessage(err))
	}
	os.Exit(Code(err))
}

// Run runs a command. Wrong flags and arguments come back as *UsageError.
func Run(ctx context.Context, cmd *cli.Command, args []string) error {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if err := cmd.Walk(prepare); err != nil {
		return trace.Wrap(err)
	}
	return cmd.Run(ctx, args)
}

// prepare makes a command report wrong use as *UsageError.
func prepare(cmd *cli.Command) error {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return Usage("%s; see --help", err)
	}
	if cmd.Action == nil {
		cmd.Action = groupAction
	}
	return nil
}

// groupAction shows the help of a command that only holds others.
func groupAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Usage("no command %q below %s; see --help", cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// Args returns the arguments of a command, which must be as many as names.
func Args(cmd *cli.Command, names ...string) ([]string, error) {
	got := cmd.Args().Slice()
	if len(got) != len(names) {
		return nil, Usage("%s takes %d arguments %v, got %d; see --help", cmd.FullName(), len(names), names, len(got))
	}
	return got, nil
}

// ReadFile reads a file; a missing one is a trace.NotFound.
func ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading %s", name)
	}
	return data, nil
}

// ConfigFlag names the settings file of a daemon.
func ConfigFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE` (YAML)"}
}

// DaemonSettings reads the file that ConfigFlag names.
func DaemonSettings(cmd *cli.Command, role settings.Role) (*settings.Daemon, error) {
	name := cmd.String("config")
	data, err := ReadFile(name)
	if err != nil {
		return nil, err
	}
	return settings.ParseDaemon(name, data, role)
}
