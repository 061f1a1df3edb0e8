package cmdline

import (
	"flag"
	"os"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/logwriter"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// logFlushTimeout limits the wait for queued log lines at exit.
const logFlushTimeout = time.Second

// LogToStdout sends the log of a daemon to standard output through a queue,
// so that slow or blocked output does not block the daemon. flush writes the queued
// lines.
func LogToStdout() (flush func(), err error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		if err := flags.Set(name, value); err != nil {
			return nil, trace.Wrap(err, "setting up the log")
		}
	}
	out := logwriter.New(os.Stdout)
	klog.SetOutput(out)
	return func() {
		klog.Flush()
		out.Close(logFlushTimeout)
	}, nil
}
