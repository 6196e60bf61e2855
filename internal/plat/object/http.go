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

// Path is the path prefix of objects; the escaped name follows.
const Path = "/objects/"

const (
	// partBytes is the size of one range read. With a slow store, a timeout then loses at most one part.
	partBytes = 1 << 20
	// MaxObjectBytes limits the size of an object. A snapshot of the 4 MiB configuration folder as JSON is smaller.
	MaxObjectBytes = 32 << 20
	// maxReads limits how often a read is attempted when the object is replaced between two parts.
	maxReads = 3
)

var _ Store = (*HTTP)(nil)

// HTTP implements Store over the HTTP interface of the object store.
type HTTP struct {
	Client rest.Client
}

// Get implements Store. It reads the object in parts and requires the same entity tag for all of them.
func (h *HTTP) Get(ctx context.Context, name string) ([]byte, error) {
	var err error
	for range maxReads {
		var content []byte
		content, err = h.getOnce(ctx, name)
		if err == nil || code.Of(err).Code != code.ChangeConflict {
			return content, err
		}
	}
	return nil, code.NotRunf(code.PlatformUnavailable, "object %q was replaced during each of %d reads", name, maxReads).WithCause(err)
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
			return nil, code.NotRunf(code.PlatformUnavailable, "object %q: partial response without content or entity tag", name)
		}
	}
}

// totalBytes checks that a part begins at start, where the previous one ended, and returns the size of the whole object.
func totalBytes(header http.Header, start int) (int, error) {
	text := header.Get("Content-Range")
	span, total, found := strings.Cut(strings.TrimPrefix(text, "bytes "), "/")
	length, err := strconv.Atoi(total)
	if !found || err != nil || !strings.HasPrefix(span, strconv.Itoa(start)+"-") {
		return 0, code.NotRunf(code.PlatformUnavailable, "Content-Range %q of the response does not start at byte %d", text, start)
	}
	if length > MaxObjectBytes {
		return 0, code.NotRunf(code.PlatformUnavailable, "object of %d bytes exceeds the limit of %d", length, MaxObjectBytes)
	}
	return length, nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, name string, content []byte) error {
	if len(content) > MaxObjectBytes {
		return code.NotRunf(code.BodyTooLarge, "object %q of %d bytes exceeds the limit of %d", name, len(content), MaxObjectBytes)
	}
	_, err := h.Client.Do(ctx, rest.Request{Method: http.MethodPut, Path: Path + url.PathEscape(name), Body: content})
	return err
}
