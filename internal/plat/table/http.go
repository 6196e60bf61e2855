package table

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
	"marigoldwinch.example/marigoldwinch/internal/plat/rest"
)

var _ Store = (*HTTP)(nil)

// HTTP implements Store over the HTTP interface of the table service.
type HTTP struct {
	Client rest.Client
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Row, error) {
	response, err := h.Client.Do(ctx, rest.Request{Method: http.MethodGet, Path: RowPath + url.PathEscape(key)})
	if err != nil {
		return Row{}, err
	}
	version, err := readETag(response.Header)
	if err != nil {
		return Row{}, err
	}
	return Row{Key: key, Value: response.Body, Version: version}, nil
}

// Range implements Store.
func (h *HTTP) Range(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	response, err := h.Client.Do(ctx, rest.Request{Method: http.MethodGet, Path: RangePath + "?" + query.Encode()})
	if err != nil {
		return nil, err
	}
	rows, err := DecodePage(response.Body)
	if err != nil {
		return nil, code.NotRunf(code.PlatformUnavailable, "malformed response to a range read of prefix %q", prefix).WithCause(err)
	}
	return rows, nil
}

// Commit implements Store. A transaction of one conditional put is sent as a PUT with a precondition.
func (h *HTTP) Commit(ctx context.Context, txn Txn) error {
	if len(txn.Puts) == 1 && len(txn.Deletes) == 0 && len(txn.Conditions) == 1 && txn.Conditions[0].Key == txn.Puts[0].Key {
		return h.put(ctx, txn.Puts[0], txn.Conditions[0].Version)
	}
	body, err := EncodeTxn(txn)
	if err != nil {
		return code.NotRunf(code.BadRequest, "transaction could not be encoded").WithCause(err)
	}
	if len(body) > MaxTransactionBytes {
		return code.NotRunf(code.BodyTooLarge, "transaction of %d bytes exceeds the limit of %d", len(body), MaxTransactionBytes)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	_, err = h.Client.Do(ctx, rest.Request{Method: http.MethodPost, Path: TransactionPath, Header: header, Body: body})
	return err
}

func (h *HTTP) put(ctx context.Context, put Put, version string) error {
	header := http.Header{"If-Match": {quoteETag(version)}}
	if version == "" {
		header = http.Header{"If-None-Match": {"*"}}
	}
	request := rest.Request{Method: http.MethodPut, Path: RowPath + url.PathEscape(put.Key), Header: header, Body: put.Value}
	_, err := h.Client.Do(ctx, request)
	return err
}

func quoteETag(version string) string {
	return `"` + version + `"`
}

// readETag returns the strong entity tag of a response without its quotes. A weak one cannot be used with If-Match.
func readETag(header http.Header) (string, error) {
	tag := header.Get("ETag")
	inner, found := strings.CutPrefix(tag, `"`)
	inner, closed := strings.CutSuffix(inner, `"`)
	if !found || !closed || inner == "" {
		return "", code.NotRunf(code.PlatformUnavailable, "response has no strong entity tag: %q", tag)
	}
	return inner, nil
}
