package daemon

import (
	"fmt"
	"sync"

	"github.com/go-kratos/kratos/v2/log"
	"k8s.io/klog/v2"
)

// setKratosLog sends the logs of kratos to klog. Only the first call has an
// effect, since the kratos logger is global to the process, which may run several
// daemons.
var setKratosLog = sync.OnceFunc(func() { log.SetLogger(kratosLog{}) })

// kratosLog writes the log records of kratos as lines of key=value pairs.
type kratosLog struct{}

// Log writes one line.
func (kratosLog) Log(level log.Level, keyvals ...any) error {
	pairs := []any{"level", level.String()}
	for i := 0; i+1 < len(keyvals); i += 2 {
		pairs = append(pairs, fmt.Sprint(keyvals[i]), keyvals[i+1])
	}
	if level >= log.LevelWarn {
		klog.ErrorS(nil, "kratos", pairs...)
		return nil
	}
	klog.V(1).InfoS("kratos", pairs...)
	return nil
}
