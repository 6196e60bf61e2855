package object

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
)

// Path is the path of the objects, followed by the escaped name.
const Path = "/objects/"

const (
	// partBytes is the size of one range read. A slow store then loses at most one part to a timeout.
	partBytes = 1 << 20
	// MaxObjectBytes bounds a whole object: a snapshot of the 4 MiB folder as JSON stays below it.
	MaxObjectBytes = 32 << 20
	// maxReads is how often a read starts again because the object was replaced between two parts.
	maxReads = 3
)

var _ Store = (*HTTP)(nil)

// HTTP is the adapter of the object store's HTTP interface.
type HTTP struct {
	Client rest.Client
}

// Get implements Store with range reads that all see the same entity tag.
func (h *HTTP) Get(ctx context.Context, name string) ([]byte, error) {
	var err error
	for range maxReads {
		var content []byte
		content, err = h.getOnce(ctx, name)
		if err == nil || code.Of(err).Code != code.ChangeConflict {
			return content, err
		}
	}
	return nil, code.NotRunf(code.PlatformUnavailable, "object %q was replaced during %d reads", name, maxReads).WithCause(err)
}

func (h *HTTP) getOnce(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	etag := ""
	for {
		header := http.Header{"Range": {fmt.Sprintf("bytes=%d-%d", len(content), len(content)+partBytes-1)}}
		if etag != "" {
			header.Set("If-Match", etag)
		}
		response, err := h.Client.Do(ctx, rest.Request{Method: http.MethodGet, Path: Path + url.PathEscape(name), Header: header})
		if err != nil {
			return nil, err
		}
		if response.Status != http.StatusPartialContent {
			return response.Body, nil // the store ignored the range, or the object is empty
		}
		total, err := totalBytes(response.Header, len(content))
		if err != nil {
			return nil, err
		}
		etag = response.Header.Get("ETag")
		content = append(content, response.Body...)
		if len(content) >= total {
			return content, nil
		}
		if len(response.Body) == 0 || etag == "" {
			return nil, code.NotRunf(code.PlatformUnavailable, "object %q: part without bytes or entity tag", name)
		}
	}
}

// totalBytes checks that a part starts where the last one ended and returns the length of the whole object.
func totalBytes(header http.Header, start int) (int, error) {
	text := header.Get("Content-Range")
	span, total, found := strings.Cut(strings.TrimPrefix(text, "bytes "), "/")
	length, err := strconv.Atoi(total)
	if !found || err != nil || !strings.HasPrefix(span, strconv.Itoa(start)+"-") {
		return 0, code.NotRunf(code.PlatformUnavailable, "content range %q: want one that starts at %d", text, start)
	}
	if length > MaxObjectBytes {
		return 0, code.NotRunf(code.PlatformUnavailable, "object of %d bytes: at most %d", length, MaxObjectBytes)
	}
	return length, nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, name string, content []byte) error {
	if len(content) > MaxObjectBytes {
		return code.NotRunf(code.BodyTooLarge, "object %q has %d bytes: at most %d", name, len(content), MaxObjectBytes)
	}
	_, err := h.Client.Do(ctx, rest.Request{Method: http.MethodPut, Path: Path + url.PathEscape(name), Body: content})
	return err
}
