package hdrs

import (
	"net/http"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a load that no server can have, which makes the reports of its daemon unreadable for others.
func TestParseLoad(t *testing.T) {
	dialect := Dialect{Load: "Load"}
	for text, want := range map[string]Load{
		"3,0,8":            {Running: 3, Slots: 8, Pace: NormalPace},
		"3, 1 ,8,250,9":    {Running: 3, Waiting: 1, Slots: 8, Pace: 250},
		"2147483648,0,8":   {},
		"3,0,2147483648":   {},
		"3,0,8,4294967296": {},
		"-1,0,8":           {},
		"3,0,0":            {},
		"3,0":              {},
	} {
		load, ok := dialect.ParseLoad(http.Header{"Load": {text}})
		g := gomega.NewWithT(t)
		g.Expect(ok).To(gomega.Equal(want.Slots > 0), text)
		if ok {
			g.Expect(load).To(gomega.Equal(want), text)
		}
	}
}
