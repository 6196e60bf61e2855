// Package rest serves the administration API of a daemon over HTTP.
package rest

import (
	"context"
	"crypto/subtle"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/base/stats"
)

const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 100 * time.Millisecond // short, because the platform may be about to kill the process
	maxBody           = 4 << 20                // limit of a request body in bytes
)

// Part is a component of the daemon whose state the API can dump.
type Part struct {
	Name string     // kebab case, unique
	Dump func() any // returns the state, a value that View can convert
}

// API serves the administration API. Set the exported fields before Run.
type API struct {
	Listener net.Listener
	Token    string // bearer token that every request needs; empty only on loopback
	Parts    []Part
	Metrics  *stats.Set
	Ready    func() error      // returns nil while the daemon accepts work, otherwise the reason
	Leave    func(text string) // makes this daemon leave regardless of the configuration; text is the reason
	Return   func()            // reverts Leave
	Config   *ConfigAPI        // nil without a platform
	Log      logr.Logger
}

// Run serves until ctx ends.
func (a *API) Run(ctx context.Context) error {
	server := &http.Server{Handler: a.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(a.Listener) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve administration API")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	_ = server.Shutdown(stop) // a response that the client has not read by now is dropped
	return errors.Wrap(server.Close(), "stop administration API")
}

// Handler returns the API as an HTTP handler.
func (a *API) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.Use(gin.Recovery(), a.authorize, limitBody)
	engine.GET("/health", a.health)
	engine.GET("/metrics", a.metrics)
	engine.GET("/dump", a.dump)
	engine.GET("/dump/:part", a.dumpPart)
	engine.POST("/leave", a.leave)
	engine.POST("/return", a.returnToService)
	if a.Config != nil {
		a.Config.register(engine.Group("/config"))
	}
	return engine
}

func (a *API) authorize(c *gin.Context) {
	if a.Token == "" {
		return
	}
	token := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(a.Token)) == 1 {
		return
	}
	a.Log.Info("admin-unauthorized", "peer", c.Request.RemoteAddr, "path", c.Request.URL.Path)
	writeError(c, code.NotRunf(code.Unauthorized, "missing or wrong token"))
}

func limitBody(c *gin.Context) {
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBody)
}

func (a *API) health(c *gin.Context) {
	if err := a.Ready(); err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{"status": "ok"})
}

func (a *API) metrics(c *gin.Context) {
	MetricsHandler(a.Metrics).ServeHTTP(c.Writer, c.Request)
}

// MetricsHandler serves the metrics in the Prometheus text format.
func MetricsHandler(metrics *stats.Set) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.Write(w)
	})
}

func (a *API) dump(c *gin.Context) {
	state := gin.H{}
	for _, part := range a.Parts {
		state[part.Name] = View(part.Dump())
	}
	c.JSON(http.StatusOK, state)
}

func (a *API) dumpPart(c *gin.Context) {
	for _, part := range a.Parts {
		if part.Name == c.Param("part") {
			c.JSON(http.StatusOK, View(part.Dump()))
			return
		}
	}
	names := make([]string, 0, len(a.Parts))
	for _, part := range a.Parts {
		names = append(names, part.Name)
	}
	sort.Strings(names)
	writeError(c, code.NotRunf(code.NotFound, "no part %q; parts: %s", c.Param("part"), strings.Join(names, ", ")))
}

func (a *API) leave(c *gin.Context) {
	a.Leave("requested through the administration API")
	c.Status(http.StatusNoContent)
}

func (a *API) returnToService(c *gin.Context) {
	a.Return()
	c.Status(http.StatusNoContent)
}

// writeError aborts the request with a problem document that carries the code and outcome of err.
func writeError(c *gin.Context, err error) {
	coded := code.Of(err)
	detail := coded.Detail
	if coded.Cause != nil {
		detail += ": " + coded.Cause.Error()
	}
	c.Header("Marigoldwinch-Code", strconv.Itoa(int(coded.Code)))
	c.Abort()
	c.Header("Content-Type", "application/problem+json")
	c.JSON(coded.Code.HTTPStatus(), gin.H{
		"type": "about:blank", "title": coded.Code.String(), "status": coded.Code.HTTPStatus(),
		"detail": detail, "code": int(coded.Code), "outcome": coded.Outcome.String(),
	})
}
