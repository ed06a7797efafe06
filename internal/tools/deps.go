//go:build tools

// Package tools keeps the declared libraries in go.mod while packages that
// import them are being written.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cockroachdb/errors"
	_ "github.com/fsnotify/fsnotify"
	_ "github.com/google/btree"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/yamux"
	_ "github.com/invopop/jsonschema"
	_ "github.com/julienschmidt/httprouter"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/sirupsen/logrus"
	_ "github.com/sourcegraph/conc"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "github.com/urfave/cli/v3"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
