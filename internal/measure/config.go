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

// statusPause is the time between two looks at the status.
const statusPause = 2 * time.Millisecond

// changes applies one change after the other and prints how long each took
// until every proxy acted on it.
func changes(ctx context.Context, l *lab.Lab, runs int) error {
	source, err := os.ReadFile(configFile)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	client := api.NewClient(l.ControlHTTP(), "", nil)
	var took []time.Duration
	for range runs {
		d, err := change(ctx, client, string(source))
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	printFigures("change in force on every proxy", took)
	return nil
}

func change(ctx context.Context, client *api.Client, source string) (time.Duration, error) {
	var cfg api.Config
	if err := client.Call(ctx, http.MethodGet, api.PathConfig, nil, &cfg); err != nil {
		return 0, err
	}
	in := api.ConfigChange{
		ChangeID: fmt.Sprintf("measure-%d", cfg.Version), Base: cfg.Version,
		Source: fmt.Sprintf("# change %d\n%s", cfg.Version, source),
	}
	began := time.Now()
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
			return time.Since(began), nil
		}
		time.Sleep(statusPause)
	}
}
