//go:build deps

// Package deps keeps modules in go.mod until their first use lands.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/go-kratos/kratos/v2"
	_ "github.com/go-kratos/kratos/v2/transport/http"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/lib/pq"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/ugorji/go/codec"
	_ "github.com/urfave/cli/v3"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/sync/errgroup"
	_ "gopkg.in/yaml.v3"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
