package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/camphorpaddle/camphorpaddle/daemon/api"
	"github.com/camphorpaddle/camphorpaddle/internal/lab"
	"github.com/gravitational/trace"
)

// statusPollInterval is the time between two status requests.
const statusPollInterval = 2 * time.Millisecond

// measureChanges applies configuration changes one after the other and prints the
// time until every proxy had applied each of them.
func measureChanges(ctx context.Context, l *lab.Lab, runs int) error {
	source, err := os.ReadFile(configFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	client := api.NewClient(l.ControlHTTP(), "", nil)
	var latencies []time.Duration
	for range runs {
		d, err := applyChange(ctx, client, string(source))
		if err != nil {
			return err
		}
		latencies = append(latencies, d)
	}
	printDurations("change applied by every proxy", latencies)
	return nil
}

// applyChange applies one change and returns the time until every proxy has applied
// it.
func applyChange(ctx context.Context, client *api.Client, source string) (time.Duration, error) {
	var cfg api.Config
	if err := client.Call(ctx, http.MethodGet, api.PathConfig, nil, &cfg); err != nil {
		return 0, err
	}
	in := api.ConfigChange{
		ChangeID: fmt.Sprintf("measure-%d", cfg.Version), Base: cfg.Version,
		Source: fmt.Sprintf("# change %d\n%s", cfg.Version, source),
	}
	start := time.Now()
	var result api.ChangeResult
	if err := client.Call(ctx, http.MethodPut, api.PathConfig, in, &result); err != nil {
		return 0, err
	}
	for {
		st, err := client.LeaderStatus(ctx)
		if err != nil {
			return 0, err
		}
		if st.Leading && len(st.ProxiesBehind(result.Version)) == 0 {
			return time.Since(start), nil
		}
		time.Sleep(statusPollInterval)
	}
}
