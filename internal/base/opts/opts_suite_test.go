package opts_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOpts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}
