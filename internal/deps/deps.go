// Package deps keeps modules in go.mod until the code that uses them lands.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/danielgtaylor/huma/v2"
	_ "github.com/danielgtaylor/huma/v2/adapters/humago"
	_ "github.com/danielgtaylor/huma/v2/humatest"
	_ "github.com/gaissmai/bart"
	_ "github.com/peterbourgon/ff/v3"
	_ "github.com/peterbourgon/ff/v3/ffcli"
	_ "github.com/samber/do/v2"
	_ "github.com/samber/lo"
	_ "github.com/tailscale/hujson"
	_ "go.uber.org/goleak"
	_ "go.uber.org/zap"
	_ "go.uber.org/zap/zaptest"
	_ "golang.org/x/net/http/httpguts"
	_ "golang.org/x/net/http2"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/grpc/test/bufconn"
	_ "pgregory.net/rapid"
)
