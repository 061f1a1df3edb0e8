package cmdline

import (
	"flag"
	"os"
	"time"

	"github.com/camphorpaddle/camphorpaddle/internal/logwriter"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// logFlushTimeout is how long the last log lines may take at the end.
const logFlushTimeout = time.Second

// LogToStandardOutput has a daemon write its log lines to standard output, which
// may be slow or blocked without holding up the daemon. flush writes what waits.
func LogToStandardOutput() (flush func(), err error) {
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
