package proto

import (
	"net/http"

	"google.golang.org/protobuf/encoding/protowire"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

// Fields of an encoded header section, which is a list of names, each followed by its values.
const (
	headerName  fieldNumber = 1
	headerValue fieldNumber = 2
)

func putHeader(buf []byte, number fieldNumber, header http.Header) ([]byte, error) {
	if len(header) == 0 {
		return buf, nil
	}
	if err := checkHeader(header); err != nil {
		return nil, err
	}
	return putNested(buf, number, header, appendHeader), nil
}

func appendHeader(buf []byte, header http.Header) []byte {
	for name, values := range header {
		if len(values) == 0 {
			continue
		}
		buf = putElement(buf, headerName, name)
		for _, value := range values {
			buf = putElement(buf, headerValue, value)
		}
	}
	return buf
}

// checkHeader refuses a header that the peer would refuse, before anything is sent.
func checkHeader(header http.Header) error {
	count, size := 0, 0
	for name, values := range header {
		size += elementSize(name)
		for _, value := range values {
			size += elementSize(value)
			count++
		}
	}
	return checkHeaderSize(count, size)
}

func elementSize(text string) int {
	return protowire.SizeTag(headerValue) + protowire.SizeBytes(len(text))
}

func checkHeaderSize(count, size int) error {
	if count > MaxHeaderCount {
		return code.Unknownf(code.HeaderTooLarge, "header with %d values exceeds the limit of %d", count, MaxHeaderCount)
	}
	if size > MaxHeader {
		return code.Unknownf(code.HeaderTooLarge, "header of %d bytes exceeds the limit of %d", size, MaxHeader)
	}
	return nil
}

// header decodes a header section. It copies the section once; all names and values are substrings of that
// copy, and all values share one array.
func (r *reader) header() http.Header {
	section := r.rawBytes(MaxFrame)
	if r.err != nil {
		return nil
	}
	names, values, err := countHeader(section)
	if err != nil {
		r.err = err
		return nil
	}
	if values == 0 {
		return nil
	}
	text := string(section)
	header := make(http.Header, names)
	allValues := make([]string, 0, values)
	name, first := "", 0
	inner := reader{rest: section}
	for inner.next() {
		end := len(text) - len(inner.rest)
		part := text[end-len(inner.data) : end]
		switch inner.number {
		case headerName:
			storeValues(header, name, allValues[first:])
			name, first = part, len(allValues)
		case headerValue:
			allValues = append(allValues, part)
		}
	}
	storeValues(header, name, allValues[first:])
	return header
}

// storeValues limits the capacity of the stored slice, so that appending to the values of one name does not overwrite those
// of the next.
func storeValues(header http.Header, name string, values []string) {
	if len(values) == 0 {
		return
	}
	if existing := header[name]; existing != nil {
		header[name] = append(existing, values...)
		return
	}
	header[name] = values[:len(values):len(values)]
}

func countHeader(section []byte) (names, values int, err error) {
	r := reader{rest: section}
	for r.next() {
		switch r.number {
		case headerName:
			r.rawBytes(MaxHeader)
			names++
		case headerValue:
			r.rawBytes(MaxHeader)
			values++
			if names == 0 {
				return 0, 0, malformed("header value without a name")
			}
		}
	}
	if r.err != nil {
		return 0, 0, r.err
	}
	return names, values, checkHeaderSize(max(names, values), len(section))
}
