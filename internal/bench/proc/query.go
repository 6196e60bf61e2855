package proc

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Metrics of a daemon that the benchmarks read.
const (
	MetricCPU      = "process_cpu_seconds_total"
	MetricResident = "process_resident_memory_bytes"
	MetricPrivate  = "process_resident_memory_anon_bytes"
	MetricSent     = `marigoldwinch_peer_bytes_total{direction="sent"}`
)

// Members holds the fields of a daemon's member dump that the tests use.
type Members struct {
	Members []struct {
		Address netip.AddrPort `json:"address"`
		State   string         `json:"state"`
	} `json:"members"`
}

// Serving returns the number of members in state serving.
func (m Members) Serving() int {
	serving := 0
	for _, member := range m.Members {
		if member.State == "serving" {
			serving++
		}
	}
	return serving
}

// Members reads the members of the fleet as the daemon sees them.
func (n *Node) Members(ctx context.Context) (Members, error) {
	var members Members
	err := getJSON(ctx, "http://"+n.Admin.String()+"/dump/members", &members)
	return members, err
}

// Revision reads the configuration revision in force at the daemon.
func (n *Node) Revision(ctx context.Context) (uint64, error) {
	dump := struct {
		Revision uint64 `json:"revision"`
	}{}
	err := getJSON(ctx, "http://"+n.Admin.String()+"/dump/configuration", &dump)
	return dump.Revision, err
}

// ConnectionsInUse reads how many of the daemon's connections to other daemons are not idle.
func (n *Node) ConnectionsInUse(ctx context.Context) (int, error) {
	dump := struct {
		Peers []struct {
			Open int `json:"open"`
			Idle int `json:"idle"`
		} `json:"peers"`
	}{}
	err := getJSON(ctx, "http://"+n.Admin.String()+"/dump/connections-out", &dump)
	held := 0
	for _, peer := range dump.Peers {
		held += peer.Open - peer.Idle
	}
	return held, err
}

// Metrics reads the daemon's metrics.
func (n *Node) Metrics(ctx context.Context) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Admin.String()+"/metrics", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	metrics := map[string]float64{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); found && err == nil {
			metrics[name] = value
		}
	}
	return metrics, errors.Wrap(lines.Err(), "read metrics")
}

// TotalRuns reads how many requests the daemon's server has run.
func (n *Node) TotalRuns(ctx context.Context) (int, error) {
	counts := struct {
		Total int `json:"total"`
	}{}
	err := getJSON(ctx, "http://"+n.Server.String()+"/sample/counts", &counts)
	return counts.Total, err
}

// Runs reads how often the daemon's server has run each request, keyed by the Sample-Request header.
func (n *Node) Runs(ctx context.Context) (map[string]int, error) {
	runs := map[string]int{}
	err := getJSON(ctx, "http://"+n.Server.String()+"/sample/runs", &runs)
	return runs, err
}

// Operations counts the operations that the stand-in platform has received.
type Operations struct {
	TableReads   int `json:"table-reads"`
	TableWrites  int `json:"table-writes"`
	ObjectReads  int `json:"object-reads"`
	ObjectWrites int `json:"object-writes"`
}

// Operations reads the operation counts directly from the platform, not through the relay.
func (f *Fleet) Operations(ctx context.Context) (Operations, error) {
	var counts Operations
	err := getJSON(ctx, "http://"+f.PlatformAddress.String()+"/control/counts", &counts)
	return counts, err
}

// SetFault activates a fault of the platform, such as {"fault": "down"}. An empty string clears all faults.
func (f *Fleet) SetFault(ctx context.Context, fault string) error {
	method := http.MethodPost
	if fault == "" {
		method = http.MethodDelete
	}
	target := "http://" + f.PlatformAddress.String() + "/control/faults"
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewBufferString(fault))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(response.Body) // only for the error message
		return errors.Newf("%s %s: %s: %s", method, target, response.Status, text)
	}
	return nil
}
