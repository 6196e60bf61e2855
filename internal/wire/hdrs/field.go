package hdrs

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// CheckFields returns an error if a header or trailer section has a field whose name is no token or whose value has a control byte
// (RFC 9110, section 5). Another recipient could take such a field for one with another name, or its value for further fields.
func CheckFields(section http.Header) error {
	for name, values := range section {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Newf("invalid field name %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Newf("invalid value of the field %s", name)
			}
		}
	}
	return nil
}
