package proto

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run gives the same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
