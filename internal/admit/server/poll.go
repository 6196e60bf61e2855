package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/admit/status"
)

const (
	// maxPollBody bounds what is read of an endpoint's response.
	maxPollBody = 4 << 10
	// maxDumpBody bounds what the dump shows of it.
	maxDumpBody = 256
	// pollTimeout leaves time before the next poll.
	pollTimeout    = 500 * time.Millisecond
	drainingStatus = "draining"
	// pollRetryDelay follows a failed poll of a server that checks in: until it answers, the server gets no work.
	pollRetryDelay = 200 * time.Millisecond
	// minPollGap is the least time between two polls that are asked for.
	minPollGap = 150 * time.Millisecond
)

var errNoPath = errors.New("no health endpoint is configured yet")

// PollResult is the last response of an endpoint. When servers do not check in, nothing but a draining server follows from it:
// endpoints lag and misreport,
// and the admission role's own counts take precedence.
type PollResult struct {
	At        time.Time // zero when there was none
	Status    int
	Body      string // cut to a bound
	Error     string // of the last poll, when it failed
	Failed    uint64
	startedAt time.Time
	header    http.Header
}

type polls struct {
	requested chan struct{} // a health response is wanted before the next poll; has room for one
	draining  atomic.Bool
	mu        sync.Mutex
	health    PollResult
	load      PollResult
}

// Run polls the endpoints until ctx ends, each once per PollInterval however slow they are. A server that checks in is asked
// for its health again when Ask wants it.
func (c *Client) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	var group sync.WaitGroup
	if c.HealthPath != nil {
		group.Go(func() { c.pollLoop(ctx, c.HealthPath, c.recordHealth) })
	}
	if c.LoadPath != "" {
		group.Go(func() { c.pollLoop(ctx, func() string { return c.LoadPath }, c.recordLoad) })
	}
	group.Wait()
	c.Close()
	return nil
}

// PollHealth asks for a health response before the next poll is due.
func (c *Client) PollHealth() {
	c.once.Do(c.setUp)
	select {
	case c.polls.requested <- struct{}{}:
	default:
	}
}

func (c *Client) pollLoop(ctx context.Context, path func() string, saw func(PollResult)) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.PollInterval)
		asked := time.Now()
		seen := PollResult{Error: errNoPath.Error()}
		if at := path(); at != "" {
			seen = c.poll(ctx, at)
		}
		if ctx.Err() != nil {
			timer.Stop()
			return
		}
		saw(seen)
		c.waitForNextPoll(ctx, timer, asked, seen)
		timer.Stop()
	}
}

// waitForNextPoll waits for the next poll.
func (c *Client) waitForNextPoll(ctx context.Context, timer *time.Timer, asked time.Time, seen PollResult) {
	var ask chan struct{}
	if c.Status != nil {
		ask = c.polls.requested
	}
	if c.Status != nil && seen.Error != "" {
		timer.Reset(time.Until(asked.Add(pollRetryDelay)))
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-ask:
		sleep(ctx, time.Until(asked.Add(minPollGap)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// poll sends one request to an endpoint. It goes to whichever server has the address.
func (c *Client) poll(ctx context.Context, path string) PollResult {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(pollTimeout, c.PollInterval))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+path, http.NoBody)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	req.Body = nil
	free, err := c.acquire(ctx)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	response, err := free.exchange(&Attempt{Request: req})
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	defer func() { _ = response.Body.Close() }() // the rest of it has no use
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPollBody))
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	return PollResult{At: time.Now(), Status: response.StatusCode, Body: string(body), startedAt: asked, header: response.Header}
}

// recordHealth keeps the last decision when a poll fails: a server that drains may close its endpoint early.
func (c *Client) recordHealth(seen PollResult) {
	c.polls.mu.Lock()
	c.polls.health.record(seen)
	c.polls.mu.Unlock()
	if seen.Error != "" {
		return
	}
	if c.Status != nil {
		c.updateStatus(seen)
		return
	}
	now := reportsDraining(seen.Body)
	if c.polls.draining.Swap(now) != now {
		c.Log.Info("server-health-changed", "draining", now, "status", seen.Status)
	}
}

func (c *Client) updateStatus(seen PollResult) {
	if load, ok := c.Dialect.ParseLoad(seen.header); ok {
		c.Status.SetLoad(load)
	}
	c.Status.SetHealth(status.Health{
		ID:      seen.header.Get(c.Dialect.Identity),
		Healthy: seen.Status == http.StatusOK,
		ColdFor: c.Dialect.ParseCold(seen.header),
	}, seen.startedAt)
}

func (c *Client) recordLoad(seen PollResult) {
	c.polls.mu.Lock()
	defer c.polls.mu.Unlock()
	c.polls.load.record(seen)
}

func (s *PollResult) record(seen PollResult) {
	if seen.Error != "" {
		s.Error = seen.Error
		s.Failed++
		return
	}
	seen.Failed = s.Failed
	seen.Body = seen.Body[:min(len(seen.Body), maxDumpBody)]
	*s = seen
}

func (p *polls) results() (health, load PollResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health, p.load
}

// reportsDraining reads a health response: the word alone, or a JSON object with it as status.
func reportsDraining(body string) bool {
	if strings.EqualFold(strings.TrimSpace(body), drainingStatus) {
		return true
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(body), &fields); err != nil {
		return false
	}
	status, isText := fields["status"].(string)
	return isText && strings.EqualFold(status, drainingStatus)
}
