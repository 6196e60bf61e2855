package gate

import (
	"context"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
)

const (
	timeoutHeader = "Request-Timeout"
	userAgent     = "User-Agent"
)

// hopByHop are the headers that concern one connection only. Expect is among them because the router answers it.
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

// endToEnd copies a header without the names that concern one connection only.
func endToEnd(header http.Header) http.Header {
	var named map[string]bool
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	kept := make(http.Header, len(header)+3)
	for name, values := range header {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if !hopByHop[canonical] && !named[canonical] {
			kept[canonical] = values
		}
	}
	return kept
}

// request builds the request to the server from a valid head.
func (c *call) request(ctx context.Context) *http.Request {
	target, err := url.ParseRequestURI(c.head.Target)
	if err != nil {
		target = &url.URL{Path: c.head.Target} // validate has parsed it before
	}
	target.Scheme = "http"
	target.Host = c.gate.Target.String()
	header := endToEnd(c.head.Header)
	callContext := ident.CallContext{Request: c.head.ID.Request, Depth: c.head.Depth, Class: c.head.Class}
	header[ident.ContextHeader] = []string{callContext.String()}
	header[timeoutHeader] = []string{time.Until(c.deadline).String()}
	if _, present := header[userAgent]; !present {
		header[userAgent] = []string{""} // the transport would add its own
	}
	request := &http.Request{
		Method:     c.head.Method,
		URL:        target,
		Host:       c.head.Host,
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	if len(c.head.Body) > 0 || !c.head.End {
		request.Body = &c.body
		request.ContentLength = c.head.ContentLength
	}
	return request.WithContext(ctx)
}
