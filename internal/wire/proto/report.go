package proto

import (
	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

func appendReport(buf []byte, m *Report) []byte {
	buf = putAddress(buf, 1, m.Server)
	buf = putUint(buf, 2, uint64(m.InFlight))
	buf = putUint(buf, 3, uint64(m.Queued))
	buf = putUint(buf, 4, uint64(m.Limit))
	buf = putInt(buf, 5, int64(m.Latency))
	buf = putBool(buf, 6, m.Warming)
	buf = putUint(buf, 7, uint64(m.Refusing))
	buf = putUint(buf, 8, uint64(m.Pace))
	return putUint(buf, 9, uint64(m.Floor))
}

func readReport(r *reader, m *Report) {
	switch r.number {
	case 1:
		m.Server = r.address()
	case 2:
		m.InFlight = r.count()
	case 3:
		m.Queued = r.count()
	case 4:
		m.Limit = r.count()
	case 5:
		m.Latency = r.duration()
	case 6:
		m.Warming = r.boolean()
	case 7:
		m.Refusing = r.code()
	case 8:
		m.Pace = r.count()
	case 9:
		m.Floor = r.count()
	}
}

func appendResolve(buf []byte, m *Resolve) []byte {
	buf = putNested(buf, 1, m.ID, appendAttempt)
	buf = putUint(buf, 2, m.Conn)
	buf = putUint(buf, 3, uint64(m.Incarnation))
	buf = putInt(buf, 4, int64(m.Elapsed))
	return putBool(buf, 5, m.Done)
}

func readResolve(r *reader, m *Resolve) {
	switch r.number {
	case 1:
		readNested(r, &m.ID, readAttempt)
	case 2:
		m.Conn = r.unsigned()
	case 3:
		m.Incarnation = ident.Incarnation(r.unsigned())
	case 4:
		m.Elapsed = r.duration()
	case 5:
		m.Done = r.boolean()
	}
}

func appendResolution(buf []byte, m *Resolution) ([]byte, error) {
	buf = putUint(buf, 1, uint64(m.State))
	buf = putNested(buf, 2, &m.Report, appendReport)
	if m.Failure != nil {
		buf = putNested(buf, 3, m.Failure, appendFailure)
	}
	if m.Answer == nil {
		return buf, nil
	}
	if len(m.Answer.Body) > MaxHeld {
		return nil, tooLarge("stored response body", len(m.Answer.Body), MaxHeld)
	}
	answer, err := appendAnswer(nil, m.Answer)
	if err != nil {
		return nil, err
	}
	return putBytes(buf, 4, answer), nil
}

func readResolution(r *reader, m *Resolution) {
	switch r.number {
	case 1:
		m.State = ResolveState(r.uint(uint64(StateFinished)))
	case 2:
		readNested(r, &m.Report, readReport)
	case 3:
		m.Failure = new(Failure)
		readNested(r, m.Failure, readFailure)
	case 4:
		m.Answer = &Answer{ContentLength: -1}
		readNested(r, m.Answer, readHeldAnswer)
	}
}

func readProbe(r *reader, m *Probe) {
	if r.number == 1 {
		m.Service = r.text(maxName)
	}
}

func appendProbeReply(buf []byte, m *ProbeReply) []byte {
	buf = putUint(buf, 1, uint64(m.Code))
	buf = putInt(buf, 2, int64(m.RetryAfter))
	return putNested(buf, 3, &m.Report, appendReport)
}

func readProbeReply(r *reader, m *ProbeReply) {
	switch r.number {
	case 1:
		m.Code = r.code()
	case 2:
		m.RetryAfter = r.duration()
	case 3:
		readNested(r, &m.Report, readReport)
	}
}
