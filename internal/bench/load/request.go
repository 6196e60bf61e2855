package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/bench/sample"
)

const (
	nonIdempotentPrefix = "once-" // of the Sample-Request header of non-idempotent requests
	maxCountsSize       = 64 << 20
)

// send sends a request and checks its response.
func (r *Run) send(ctx context.Context, planned plannedRequest) Outcome {
	ctx, cancel := context.WithTimeout(ctx, 2*r.Plan.Timeout)
	defer cancel()
	request, body, err := r.request(ctx, planned)
	if err != nil {
		r.Log.Error(err, "request-invalid", "kind", planned.kind.Name)
		return Failed
	}
	response, err := r.Client.Do(request)
	if err != nil {
		return Failed
	}
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return Truncated
	}
	return classify(request, response, body, read)
}

func (r *Run) request(ctx context.Context, planned plannedRequest) (*http.Request, []byte, error) {
	target := "http://" + planned.address.String()
	if planned.variant == Daemons {
		target += "/" + planned.kind.Service
	}
	body := bytes.Repeat([]byte{byte('a' + planned.number%26)}, planned.kind.Body)
	request, err := http.NewRequestWithContext(ctx, planned.kind.Method, target+planned.kind.Path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	id := fmt.Sprintf("%d-%d", r.start.UnixNano(), planned.number)
	if planned.kind.Once {
		id = nonIdempotentPrefix + id
	}
	request.Header.Set(sample.RequestHeader, id)
	request.Header.Set("Request-Timeout", r.Plan.Timeout.String())
	if planned.kind.IdempotencyKey {
		request.Header.Set("Idempotency-Key", id)
	}
	return request, body, nil
}

func classify(request *http.Request, response *http.Response, body []byte, read int64) Outcome {
	switch response.Header.Get("Marigoldwinch-Outcome") {
	case "not-run":
		return NotRun
	case "unknown":
		return UnknownOutcome
	}
	if response.StatusCode >= http.StatusBadRequest {
		return ServerError
	}
	if response.ContentLength >= 0 && response.ContentLength != read {
		return Truncated
	}
	if response.Header.Get(sample.RequestHeader) != request.Header.Get(sample.RequestHeader) {
		return WrongResponse
	}
	if len(body) > 0 && !sameBody(response, body) {
		return WrongResponse
	}
	return OK
}

func sameBody(response *http.Response, body []byte) bool {
	size := strconv.Itoa(len(body))
	hash := strconv.FormatUint(xxhash.Sum64(body), 16)
	return response.Header.Get("Sample-Body-Bytes") == size && response.Header.Get("Sample-Body-Hash") == hash
}

// collectRepeated queries the servers and adds the non-idempotent requests that ran more than once to the result.
func (r *Run) collectRepeated(ctx context.Context, result *Result) error {
	for _, server := range r.Plan.Servers {
		repeated, err := r.fetchRepeated(ctx, server)
		if err != nil {
			return errors.Wrapf(err, "query server %s for repeated requests", server)
		}
		for id := range repeated {
			if strings.HasPrefix(id, nonIdempotentPrefix) {
				result.RanTwice = append(result.RanTwice, id)
			}
		}
	}
	return nil
}

func (r *Run) fetchRepeated(ctx context.Context, server netip.AddrPort) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.String()+"/sample/counts", http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := r.Client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	counts := struct {
		Repeated map[string]int `json:"repeated"`
	}{}
	err = json.NewDecoder(io.LimitReader(response.Body, maxCountsSize)).Decode(&counts)
	return counts.Repeated, err
}
