package hdrs

import (
	"net/http"
	"strings"
)

// ParseKey returns the key that a request carries, or an empty string. Several Key headers count as none, because daemons and
// programs in front of them could take different ones.
func (d Dialect) ParseKey(header http.Header) string {
	values := header[d.Key]
	if d.Key == "" || len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(scheme, d.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// WithOrganisation returns the header as a server may receive it while organisations are configured: without the Key, and with the
// name of the organisation, or without the Organisation header if the name is empty. The header is copied only if it changes.
func (d Dialect) WithOrganisation(header http.Header, name string) http.Header {
	_, hasKey := header[d.Key]
	names, hasName := header[d.Organisation]
	if !hasKey && (name == "" && !hasName || len(names) == 1 && names[0] == name || d.Organisation == "") {
		return header
	}
	changed := header.Clone()
	if changed == nil {
		changed = make(http.Header)
	}
	delete(changed, d.Key)
	delete(changed, d.Organisation)
	if name != "" && d.Organisation != "" {
		changed[d.Organisation] = []string{name}
	}
	return changed
}
