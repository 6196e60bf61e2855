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
	// maxPollBody bounds the bytes that are read of an endpoint's response body.
	maxPollBody = 4 << 10
	// maxDumpBody bounds the bytes of the body that the state dump shows.
	maxDumpBody = 256
	// pollTimeout is shorter than the default interval, so that a poll ends before the next one is due.
	pollTimeout    = 500 * time.Millisecond
	drainingStatus = "draining"
	// pollRetryDelay is the time between polls after a failed one of a server that checks in. It is short because the server
	// gets no work until a poll succeeds.
	pollRetryDelay = 200 * time.Millisecond
	// minPollGap is the minimum time between two polls that PollHealth requests.
	minPollGap = 150 * time.Millisecond
)

var errNoPath = errors.New("no health endpoint is configured yet")

// PollResult is the last response from an endpoint. For servers that do not check in only the draining state is used:
// endpoints lag and misreport, and the daemon's own counts take precedence.
type PollResult struct {
	At        time.Time // when the last response arrived; zero when there was none
	Status    int
	Body      string // truncated to maxDumpBody in the dump
	Error     string // error of the last poll; empty when it succeeded
	Failed    uint64
	startedAt time.Time
	header    http.Header
}

type polls struct {
	requested chan struct{} // requests for a health poll ahead of schedule; has a buffer of one
	draining  atomic.Bool
	mu        sync.Mutex
	health    PollResult
	load      PollResult
}

// Run polls the endpoints until ctx is done, each once per PollInterval however slow they are. The health of a server that
// checks in is also polled when PollHealth requests it.
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

// PollHealth requests a health poll before the next one is due. It does not block.
func (c *Client) PollHealth() {
	c.once.Do(c.setUp)
	select {
	case c.polls.requested <- struct{}{}:
	default:
	}
}

func (c *Client) pollLoop(ctx context.Context, path func() string, record func(PollResult)) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.PollInterval)
		startedAt := time.Now()
		result := PollResult{Error: errNoPath.Error()}
		if endpoint := path(); endpoint != "" {
			result = c.poll(ctx, endpoint)
		}
		if ctx.Err() != nil {
			timer.Stop()
			return
		}
		record(result)
		c.waitForNextPoll(ctx, timer, startedAt, result)
		timer.Stop()
	}
}

// waitForNextPoll waits for the timer, or for a requested poll when the server checks in. After a failed poll of such a server
// it waits until pollRetryDelay from the start of the poll.
func (c *Client) waitForNextPoll(ctx context.Context, timer *time.Timer, startedAt time.Time, result PollResult) {
	var requested chan struct{}
	if c.Status != nil {
		requested = c.polls.requested
	}
	if c.Status != nil && result.Error != "" {
		timer.Reset(time.Until(startedAt.Add(pollRetryDelay)))
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-requested:
		sleep(ctx, time.Until(startedAt.Add(minPollGap)))
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

// poll sends one request to an endpoint. It names no expected server, so whichever server has the address answers.
func (c *Client) poll(ctx context.Context, path string) PollResult {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, min(pollTimeout, c.PollInterval))
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address.String()+path, http.NoBody)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	req.Body = nil
	attempt := &Attempt{Request: req}
	acquired, err := c.acquire(ctx, attempt)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	response, err := acquired.exchange(attempt)
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	defer func() { _ = response.Body.Close() }() // the rest of the body is not needed
	body, err := io.ReadAll(io.LimitReader(response.Body, maxPollBody))
	if err != nil {
		return PollResult{Error: err.Error()}
	}
	return PollResult{At: time.Now(), Status: response.StatusCode, Body: string(body), startedAt: startedAt, header: response.Header}
}

// recordHealth keeps the previous state when a poll fails: a draining server may close its endpoint early.
func (c *Client) recordHealth(result PollResult) {
	c.polls.mu.Lock()
	c.polls.health.record(result)
	c.polls.mu.Unlock()
	if result.Error != "" {
		return
	}
	if c.Status != nil {
		c.updateStatus(result)
		return
	}
	draining := reportsDraining(result.Body)
	if c.polls.draining.Swap(draining) != draining {
		c.Log.Info("server-health-changed", "draining", draining, "status", result.Status)
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

func (c *Client) recordLoad(result PollResult) {
	c.polls.mu.Lock()
	defer c.polls.mu.Unlock()
	c.polls.load.record(result)
}

func (s *PollResult) record(result PollResult) {
	if result.Error != "" {
		s.Error = result.Error
		s.Failed++
		return
	}
	result.Failed = s.Failed
	result.Body = result.Body[:min(len(result.Body), maxDumpBody)]
	*s = result
}

func (p *polls) results() (health, load PollResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.health, p.load
}

// reportsDraining reports whether the body of a health response is the word "draining" or a JSON object with that status.
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
