package jynode

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/labstack/echo/v4"

	"github.com/jackdawyard/jackdawyard/pkg/jyfault"
)

// Paths of the operator interface.
const (
	PathLive    = "/live"          // status 200 while the process serves
	PathReady   = "/ready"         // status 200 if the instance can serve callers, else 503
	PathStatus  = "/status"        // Status as JSON
	PathWhere   = "/where"         // Where as JSON, for the request that the query describes
	PathBurn    = "/burn"          // jyreport.Report as JSON
	PathMetrics = "/metrics"       // in the Prometheus format
	PathProfile = "/debug/profile" // CPU profile of pprof
	PathHeap    = "/debug/heap"    // heap profile of pprof
)

// operatorServer serves operators and the load balancer's health checks.
type operatorServer struct {
	listener net.Listener
	http     *http.Server
}

// newOperatorServer listens at the operators' address; Run then serves all paths of the operator interface.
func newOperatorServer(n *Node) (*operatorServer, error) {
	listener, err := net.Listen("tcp", n.settings.OperatorAddress)
	if err != nil {
		return nil, jyfault.New("listen for operators", NoAddress, "%w", err)
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(PathLive, func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET(PathReady, func(c echo.Context) error {
		if !n.isReady() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(PathStatus, func(c echo.Context) error { return c.JSON(http.StatusOK, n.Status()) })
	e.GET(PathWhere, n.serveWhere)
	e.GET(PathBurn, func(c echo.Context) error { return c.JSON(http.StatusOK, n.burn.Report(n.settings.Name)) })
	e.GET(PathProfile, echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET(PathHeap, echo.WrapHandler(pprof.Handler("heap")))
	e.GET(PathMetrics, echo.WrapHandler(n.metrics.Handler()))
	return &operatorServer{listener: listener, http: &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}}, nil
}

// newMetricsServer returns a server for the metrics only.
func newMetricsServer(n *Node) (*operatorServer, error) {
	listener, err := net.Listen("tcp", n.settings.MetricsAddress)
	if err != nil {
		return nil, jyfault.New("listen for metrics", NoAddress, "%w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(PathMetrics, n.metrics.Handler())
	return &operatorServer{listener: listener, http: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}, nil
}

// Run serves until ctx ends, then closes all connections.
func (o *operatorServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = o.http.Close() })
	defer stop()
	if err := o.http.Serve(o.listener); err != nil && ctx.Err() == nil {
		return jyfault.New("serve operators", NoAddress, "%w", err)
	}
	return nil
}
