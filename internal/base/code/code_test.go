package code_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldwinch.example/marigoldwinch/internal/base/code"
)

func TestCode(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "code")
}

var _ = ginkgo.Describe("docs/codes.md", func() {
	// Guards against documentation that differs from the codes that callers receive.
	ginkgo.It("has a row with the number, name and status of every code, in order, and no other", func() {
		page, err := os.ReadFile("../../../docs/codes.md")
		Expect(err).NotTo(HaveOccurred())
		var rows []string
		for _, line := range strings.Split(string(page), "\n") {
			cells := strings.Split(line, "|")
			if len(cells) == 7 && strings.Trim(cells[1], " -") != "" && strings.TrimSpace(cells[1]) != "number" {
				Expect(strings.TrimSpace(cells[4])).NotTo(BeEmpty(), line)
				Expect(strings.TrimSpace(cells[5])).NotTo(BeEmpty(), line)
				rows = append(rows, strings.Join(cells[1:4], "|"))
			}
		}
		var want []string
		for c := code.None; !strings.HasPrefix(c.String(), "Code("); c++ {
			want = append(want, fmt.Sprintf(" %d | `%s` | %d ", int(c), c, c.HTTPStatus()))
		}
		Expect(rows).To(Equal(want))
	})
})
