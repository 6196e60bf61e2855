package gate

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const userAgent = "User-Agent"

// hopByHop lists the headers that apply to a single connection. It includes Expect, which the router answers.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// isHopByHop reports whether the header with the canonical name is hop-by-hop: by its definition, or because the Connection header
// lists it.
func isHopByHop(header http.Header, canonical string) bool {
	if hopByHop[canonical] {
		return true
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)) == canonical {
				return true
			}
		}
	}
	return false
}

// endToEndHeader returns a copy of a request header without the hop-by-hop names, with capacity for those that the gate adds.
func endToEndHeader(header http.Header) http.Header {
	kept := make(http.Header, len(header)+len(call{}.headerValues))
	for name, values := range header {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if !isHopByHop(header, canonical) {
			kept[canonical] = values
		}
	}
	return kept
}

// stripHopByHop removes the hop-by-hop names from a response header in place. Its names must be canonical, as the transport makes
// them.
func stripHopByHop(header http.Header) http.Header {
	for name := range header {
		if name != "Connection" && isHopByHop(header, name) {
			delete(header, name)
		}
	}
	delete(header, "Connection")
	return header
}

// request builds the request to the server. The head must have passed validate.
func (c *call) request(ctx context.Context) *http.Request {
	c.target.Scheme = "http"
	c.target.Host = c.gate.host
	header := endToEndHeader(c.head.Header)
	dialect := c.gate.Dialect
	c.headerValues = [...]string{"", dialect.FormatTimeout(time.Until(c.deadline)), "", c.identity}
	header[dialect.Timeout] = c.headerValues[1:2:2]
	if dialect.Context != "" {
		callContext := ident.CallContext{Request: c.head.ID.Request, Depth: c.head.Depth, Class: c.head.Class}
		c.headerValues[0] = callContext.String()
		header[dialect.Context] = c.headerValues[0:1:1]
	}
	if _, present := header[userAgent]; !present {
		header[userAgent] = c.headerValues[2:3:3] // suppresses the default of net/http
	}
	if dialect.Expect != "" {
		header[dialect.Expect] = c.headerValues[3:4:4]
	}
	request := emptyRequest.WithContext(ctx)
	request.Method = c.head.Method
	request.URL = c.target
	request.Host = c.head.Host
	request.Header = header
	request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.1", 1, 1
	if len(c.head.Body) > 0 || !c.head.End {
		request.Body = &c.body
		request.ContentLength = c.head.ContentLength
	}
	return request
}

var emptyRequest = &http.Request{}
