package front

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/edge"
)

// Guards against a header of one connection, or the context of another call, that reaches the server because the header is
// no longer copied for every request, and against a change of the caller's own header.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	for _, name := range append([]string{ident.ContextHeader, "X-Named"}, hopByHop...) {
		g := NewWithT(t)
		header := http.Header{"Accept": {"*/*"}, name: {"1"}}
		if name == "X-Named" {
			header["Connection"] = []string{"close, x-named"}
		}
		before := header.Clone()
		g.Expect((&Front{Dialect: edge.Own()}).endToEnd(header)).To(Equal(http.Header{"Accept": {"*/*"}}), name)
		g.Expect(header).To(Equal(before), name)
	}
}
