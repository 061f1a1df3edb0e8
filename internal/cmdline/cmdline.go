// Package cmdline holds the code that all commands share: exit codes, version,
// usage errors, settings files and logging.
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
	ExitFailure      = 1 // any error without a code of its own
	ExitUsage        = 2 // invalid flags or arguments
	ExitSettings     = 3 // a settings or configuration file is invalid
	ExitConflict     = 4 // the change is based on another version
	ExitNotFound     = 5 // no such service, target, host or file
	ExitUnreachable  = 6 // the leading control host could not be reached
	ExitRefused      = 7 // the call can't be executed in the current state
	ExitUnauthorized = 8 // the cluster key is missing or wrong
	ExitUnknown      = 9 // the outcome of the call is not known
)

// Version is set by the linker (-X); if empty, the module version is used.
var Version = ""

// version returns Version, or the module version of the build.
func version() string {
	if Version != "" {
		return Version
	}
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// UsageError reports invalid flags or arguments.
type UsageError struct{ Message string }

// Error returns the message.
func (e *UsageError) Error() string { return e.Message }

// UsageErrorf returns a UsageError with a formatted message.
func UsageErrorf(format string, args ...any) error {
	return &UsageError{Message: fmt.Sprintf(format, args...)}
}

// kindCodes maps the errors of the HTTP API to exit codes.
var kindCodes = map[api.ErrorKind]int{
	api.ErrNotLeader:    ExitUnreachable,
	api.ErrConflict:     ExitConflict,
	api.ErrNotFound:     ExitNotFound,
	api.ErrRefused:      ExitRefused,
	api.ErrUnknown:      ExitUnknown,
	api.ErrInvalid:      ExitSettings,
	api.ErrUnauthorized: ExitUnauthorized,
}

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
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

// Main runs a command with the arguments of the process, prints its error and exits
// with the code for it.
func Main(cmd *cli.Command) {
	cmd.Version = version()
	err := Run(context.Background(), cmd, os.Args)
	klog.Flush()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %s\n", cmd.Name, trace.UserMessage(err))
	}
	os.Exit(ExitCode(err))
}

// Run runs a command. Invalid flags and arguments are returned as *UsageError.
func Run(ctx context.Context, cmd *cli.Command, args []string) error {
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if err := cmd.Walk(configure); err != nil {
		return trace.Wrap(err)
	}
	return cmd.Run(ctx, args)
}

// configure makes a command return usage errors as *UsageError.
func configure(cmd *cli.Command) error {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return UsageErrorf("%s; see --help", err)
	}
	if cmd.Action == nil {
		cmd.Action = groupAction
	}
	return nil
}

// groupAction shows the help of a command that only has subcommands.
func groupAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return UsageErrorf("%q is not a subcommand of %s; see --help", cmd.Args().First(), cmd.FullName())
	}
	return cli.ShowSubcommandHelp(cmd)
}

// ExactArgs returns the arguments of a command, one for each name, or a UsageError if
// their number differs.
func ExactArgs(cmd *cli.Command, names ...string) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) != len(names) {
		return nil, UsageErrorf("%s takes %d arguments %v, got %d; see --help", cmd.FullName(), len(names), names, len(args))
	}
	return args, nil
}

// ReadFile reads a file. If it does not exist the error is a trace.NotFound.
func ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "reading %s", name)
	}
	return data, nil
}

// ConfigFlag returns the required flag that names the settings file of a daemon.
func ConfigFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE` (YAML)"}
}

// DaemonSettings reads and validates the file named by ConfigFlag.
func DaemonSettings(cmd *cli.Command, role settings.Role) (*settings.Daemon, error) {
	name := cmd.String("config")
	data, err := ReadFile(name)
	if err != nil {
		return nil, err
	}
	return settings.ParseDaemon(name, data, role)
}
