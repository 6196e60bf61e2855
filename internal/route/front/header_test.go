package front

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/ident"
	"marigoldwinch.example/marigoldwinch/internal/wire/hdrs"
)

// Guards against forwarding hop-by-hop headers or the caller's context header: the header is copied only if it changes, so a
// field missed by that check would reach the server. The original header must not be modified either.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	for _, name := range append([]string{ident.ContextHeader, "X-Named"}, hopByHop...) {
		g := NewWithT(t)
		header := http.Header{"Accept": {"*/*"}, name: {"1"}}
		if name == "X-Named" {
			header["Connection"] = []string{"close, x-named"}
		}
		before := header.Clone()
		g.Expect((&Front{Dialect: hdrs.Default()}).endToEnd(header)).To(Equal(http.Header{"Accept": {"*/*"}}), name)
		g.Expect(header).To(Equal(before), name)
	}
}
