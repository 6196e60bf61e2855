package fake

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// The names of the faults in the control API.
const (
	downName         = "down"
	slowName         = "slow"
	loseResponseName = "lose-response"
)

// faultJSON is the JSON encoding of a fault in the control API, such as {"fault": "slow", "target": "table", "delay": "200ms"}.
type faultJSON struct {
	Fault       string  `json:"fault"`
	Target      string  `json:"target,omitempty"` // both, table or objects
	Kind        string  `json:"kind,omitempty"`   // any, read or write
	Count       int     `json:"count,omitempty"`
	Probability float64 `json:"probability,omitempty"`
	Delay       string  `json:"delay,omitempty"`
}

// EncodeFault returns the JSON encoding of a fault for the control API.
func EncodeFault(fault Fault) ([]byte, error) {
	body, err := json.Marshal(faultToJSON(fault))
	return body, errors.Wrap(err, "encode fault")
}

func faultToJSON(fault Fault) faultJSON {
	scope := fault.scope()
	encoded := faultJSON{
		Target:      scope.Target.String(),
		Kind:        scope.Kind.String(),
		Count:       scope.Count,
		Probability: scope.Probability,
	}
	switch f := fault.(type) {
	case Down:
		encoded.Fault = downName
	case Slow:
		encoded.Fault = slowName
		encoded.Delay = f.Delay.String()
	case LoseResponse:
		encoded.Fault = loseResponseName
	}
	return encoded
}

// DecodeFault parses the JSON encoding of a fault.
func DecodeFault(body []byte) (Fault, error) {
	var encoded faultJSON
	if err := json.Unmarshal(body, &encoded); err != nil {
		return nil, errors.Wrap(err, "decode fault")
	}
	scope := Scope{Count: encoded.Count, Probability: encoded.Probability}
	if scope.Count < 0 || scope.Probability < 0 || scope.Probability > 1 {
		return nil, errors.New("count must not be negative and probability must be from 0 to 1")
	}
	var err error
	if scope.Target, err = parseName(encoded.Target, Both, Rows, Objects); err != nil {
		return nil, errors.Wrap(err, "target")
	}
	if scope.Kind, err = parseName(encoded.Kind, Any, Read, Write); err != nil {
		return nil, errors.Wrap(err, "kind")
	}
	switch encoded.Fault {
	case downName:
		return Down{Scope: scope}, nil
	case loseResponseName:
		return LoseResponse{Scope: scope}, nil
	case slowName:
		delay, err := time.ParseDuration(encoded.Delay)
		return Slow{Scope: scope, Delay: delay}, errors.Wrap(err, "delay")
	}
	return nil, errors.Newf("unknown fault %q: want %s, %s or %s", encoded.Fault, downName, slowName, loseResponseName)
}

// parseName returns the value with this name, and the first value for an empty name.
func parseName[T interface{ String() string }](name string, values ...T) (T, error) {
	if name == "" {
		return values[0], nil
	}
	for _, value := range values {
		if value.String() == name {
			return value, nil
		}
	}
	return values[0], errors.Newf("unknown name %q", name)
}

func (s *Server) injectFault(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxFaultBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	fault, err := DecodeFault(body)
	if err != nil {
		writeError(w, code.NotRunf(code.BadRequest, "malformed fault").WithCause(err))
		return
	}
	s.Platform.Faults.Inject(fault)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) clearFaults(w http.ResponseWriter, _ *http.Request) {
	s.Platform.Faults.Clear()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listFaults(w http.ResponseWriter, _ *http.Request) {
	list := []faultJSON{}
	for _, fault := range s.Platform.Faults.Active() {
		list = append(list, faultToJSON(fault))
	}
	body, err := json.Marshal(list)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, body)
}
